package org.buckthornhub.quota

/**
 * Load of one organisation in a large fleet, and the faults of its control leader. Times in ms.
 *
 * @property load requested operations as a fraction of the rate, by time
 * @property frozen times at which the first leader does not answer; another one leads [ELECTION_MILLIS] after they begin
 * @property startedMillis time of the election of the first leader
 * @property partitioned whether a daemon reaches no leader, by daemon and time
 * @property refundShare share of the admitted operations that reach no instance, so that their tokens are refunded
 * @property watched times for which [wrongful] and [baseline] hold
 * @property wrongful most refusals, on average, while an exact bucket holds a token
 * @property baseline least of them where the load is not considered
 */
internal data class FloodCase(
    val name: String,
    val ratePerSecond: Double = 48.0,
    val burst: Double = ratePerSecond,
    val load: (millis: Long) -> Double = { USUAL_LOAD },
    val frozen: LongRange = 2_500L..9_500L,
    val startedMillis: Long = -300,
    val partitioned: (daemon: Int, millis: Long) -> Boolean = { _, _ -> false },
    val refundShare: Double = 0.0,
    val watched: LongRange = 8_000L..21_999L,
    val wrongful: Double = 0.0,
    val baseline: Double = 0.0,
) {
    /** Operations that any window of 5 s may hold. */
    val allowed: Double get() = (ratePerSecond * 5 + burst) * 1.1 + LimitSplitSimulation.TOLERATED_OPERATIONS

    override fun toString(): String = name

    companion object {
        const val USUAL_LOAD = 0.625
        const val ELECTION_MILLIS = 900L

        /** Time before an election in which no leader grants tokens: election timeout less the age at which a leader stops. */
        const val IDLE_MILLIS = 200L

        /** Load of the measured flood, [factor] times the usual one from 8 s to 14.5 s. */
        fun flood(factor: Double): (Long) -> Double = { if (it in 8_000L..14_500L) USUAL_LOAD * factor else USUAL_LOAD }
    }
}
