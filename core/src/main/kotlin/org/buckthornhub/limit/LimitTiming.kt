package org.buckthornhub.limit

/**
 * Durations of the rate limiter, in ms.
 *
 * @property leaseMillis how long a zone may refill its share without the control quorum
 * @property batchMillis how long issued tokens may be spent
 * @property maxWaitMillis maximum wait of a request for a token
 * @property driftPartsPerMillion maximum difference in rate between two clocks
 */
public data class LimitTiming(
    val leaseMillis: Long = 10_000,
    val batchMillis: Long = 200,
    val maxWaitMillis: Long = 250,
    val driftPartsPerMillion: Int = 500,
) {
    /** Returns [millis] reduced by the drift margin, so that it ends on a slow clock before [millis] end on a fast one. */
    public fun minusDrift(millis: Long): Long = millis - (millis * 2 * driftPartsPerMillion + MILLION - 1) / MILLION - 1

    private companion object {
        const val MILLION = 1_000_000L
    }
}
