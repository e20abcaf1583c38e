package org.buckthornhub.promotion

/** Local clock that runs at [percent] of the virtual time, starting from [offsetMillis]. */
internal data class SimulatedClock(
    val percent: Long,
    val offsetMillis: Long,
) {
    fun at(trueMillis: Long): Long = offsetMillis + trueMillis * percent / 100
}
