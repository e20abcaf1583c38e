package org.buckthornhub.limit

/**
 * Times of the limits, all in ms.
 *
 * @property leaseMillis how long a zone may mint its share without the control quorum
 * @property batchMillis how long handed-out tokens may be spent
 * @property maxWaitMillis longest wait of a request for a token
 * @property driftPartsPerMillion by how much two clocks may differ in speed
 */
public data class LimitTiming(
    val leaseMillis: Long = 10_000,
    val batchMillis: Long = 200,
    val maxWaitMillis: Long = 250,
    val driftPartsPerMillion: Int = 500,
) {
    /** [millis] on a clock that may be slow, less the margin that makes it safe against a fast one. */
    public fun lessDrift(millis: Long): Long = millis - (millis * 2 * driftPartsPerMillion + MILLION - 1) / MILLION - 1

    private companion object {
        const val MILLION = 1_000_000L
    }
}
