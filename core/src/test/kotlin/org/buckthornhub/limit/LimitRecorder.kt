package org.buckthornhub.limit

/** Holds the outcomes of one organisation against an [ExactBucket] as they happen. */
internal class LimitRecorder(
    limit: RateLimit,
    private val time: VirtualTime,
) {
    private val exact = ExactBucket(limit)

    var record = LimitRecord()
        private set

    fun arrived() {
        record = record.copy(arrived = record.arrived + 1)
    }

    fun ended(isAdmitted: Boolean) {
        val had = if (isAdmitted) exact.spend(time.nowMicros) else exact.hasToken(time.nowMicros)
        record =
            when {
                isAdmitted -> record.copy(admitted = record.admitted + 1, overAdmitted = record.overAdmitted + if (had) 0 else 1)
                else -> record.copy(refused = record.refused + 1, wrongful = record.wrongful + if (had) 1 else 0)
            }
    }
}
