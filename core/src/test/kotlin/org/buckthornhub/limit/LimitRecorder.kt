package org.buckthornhub.limit

/** Compares the outcomes of one organisation with an [ExactBucket] while the simulation runs. */
internal class LimitRecorder(
    limit: RateLimit,
    private val time: VirtualTime,
) {
    private val exact = ExactBucket(limit)
    private val reference = ExactBucket(limit)

    var record = LimitOutcome()
        private set

    fun arrived() {
        val isRefused = !reference.hasToken(time.nowMicros)
        if (!isRefused) reference.spend(time.nowMicros)
        record = record.copy(arrived = record.arrived + 1, refusedByExact = record.refusedByExact + if (isRefused) 1 else 0)
    }

    fun ended(isAdmitted: Boolean) {
        if (!isAdmitted) {
            record = record.copy(refused = record.refused + 1)
            return
        }
        val isOver = !exact.spend(time.nowMicros)
        record = record.copy(admitted = record.admitted + 1, overAdmitted = record.overAdmitted + if (isOver) 1 else 0)
    }
}
