package org.buckthornhub.lease

/**
 * Times of the leases.
 *
 * @property leaseMillis how long a lease lasts
 * @property renewMillis period of the renewals
 * @property driftPercent by how much any VM's clock may run fast or slow
 * @property drainMillis how long writes in flight may end before a lease is handed back
 */
public data class LeaseSettings(
    val leaseMillis: Long = 1_500,
    val renewMillis: Long = 450,
    val driftPercent: Long = 5,
    val drainMillis: Long = 20,
) {
    /** How long the holder counts on a lease, on its own clock. */
    public val holderMillis: Long get() = leaseMillis * (PERCENT - driftPercent) / PERCENT

    /** How long the granting side waits for a lease to end, on its own clock. */
    public val granterMillis: Long get() = (leaseMillis * (PERCENT + driftPercent) + PERCENT - 1) / PERCENT

    private companion object {
        const val PERCENT = 100
    }
}
