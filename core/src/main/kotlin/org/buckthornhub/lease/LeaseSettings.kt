package org.buckthornhub.lease

/**
 * Durations of leases.
 *
 * @property leaseMillis duration of a lease
 * @property renewMillis time between two renewals
 * @property driftPercent maximum rate by which the clock of any VM may run fast or slow
 * @property drainMillis time that in-flight writes have to end before a lease is released
 */
public data class LeaseSettings(
    val leaseMillis: Long = 1_500,
    val renewMillis: Long = 450,
    val driftPercent: Long = 5,
    val drainMillis: Long = 20,
) {
    /** Duration for which the holder considers a lease valid, on its own clock. */
    public val holderMillis: Long get() = leaseMillis * (PERCENT - driftPercent) / PERCENT

    /** Duration after which the control leader considers a lease ended, on its own clock. */
    public val granterMillis: Long get() = (leaseMillis * (PERCENT + driftPercent) + PERCENT - 1) / PERCENT

    private companion object {
        const val PERCENT = 100
    }
}
