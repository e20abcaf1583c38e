package org.buckthornhub.promotion

/** A local clock that runs at [percent] of true time, from an offset of its own. */
internal data class SimulatedClock(
    val percent: Long,
    val offsetMillis: Long,
) {
    fun at(trueMillis: Long): Long = offsetMillis + trueMillis * percent / 100
}
