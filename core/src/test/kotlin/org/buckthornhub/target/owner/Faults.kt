package org.buckthornhub.target.owner

/**
 * Faults that [OwnerSimulation] injects.
 *
 * @property lostRequest share of calls that never reach the target
 * @property silentFromMillis time from which the first connection does not answer, while new ones do
 * @property lostAnswer share of calls that run and whose answer is lost
 */
internal data class Faults(
    val lostRequest: Double = 0.0,
    val lostAnswer: Double = 0.0,
    val isSecondInstanceSilent: Boolean = false,
    val replicaTerm: Long = 1,
    val leaseEndsMillis: Long = Long.MAX_VALUE,
    val appliedDelayMillis: Long = 0,
    val isRefusingSlots: Boolean = false,
    val silentFromMillis: Long = Long.MAX_VALUE,
)
