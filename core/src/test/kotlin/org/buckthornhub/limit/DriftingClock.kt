package org.buckthornhub.limit

/** A ms clock that runs fast by [driftPartsPerMillion]. */
internal class DriftingClock(
    private val time: VirtualTime,
    private val offsetMicros: Long,
    private val driftPartsPerMillion: Long,
) {
    fun nowMillis(): Long = (offsetMicros + time.nowMicros + time.nowMicros * driftPartsPerMillion / 1_000_000) / 1_000
}
