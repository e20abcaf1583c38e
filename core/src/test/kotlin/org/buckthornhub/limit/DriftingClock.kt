package org.buckthornhub.limit

/** A clock in whole ms that runs [driftPartsPerMillion] fast. */
internal class DriftingClock(
    private val time: VirtualTime,
    private val offsetMicros: Long,
    private val driftPartsPerMillion: Long,
) {
    fun nowMillis(): Long = (offsetMicros + time.nowMicros + time.nowMicros * driftPartsPerMillion / 1_000_000) / 1_000
}
