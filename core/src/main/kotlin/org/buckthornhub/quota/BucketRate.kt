package org.buckthornhub.quota

/** Refill rate and burst of a token bucket for one organisation. */
public data class BucketRate(
    val ratePerSecond: Double,
    val burst: Double,
) {
    /** Returns this rate and burst multiplied by [fraction], a fraction of the limit. */
    public fun scaledBy(fraction: Double): BucketRate = BucketRate(ratePerSecond * fraction, burst * fraction)

    /** Refills [state]; a smaller burst removes tokens, a larger one adds none. A new bucket (null) starts full. */
    public fun refill(state: BucketState?, nowMillis: Long): BucketState {
        if (state == null) return BucketState(burst, nowMillis)
        val refilled = (nowMillis - state.atMillis).coerceAtLeast(0) * ratePerSecond / MILLIS_PER_SECOND
        return BucketState(minOf(state.tokens + refilled, maxOf(burst, 1.0)), nowMillis)
    }

    /** Returns the time until the next token in ms, at most 5 s. */
    public fun retryAfterMillis(state: BucketState): Long {
        if (ratePerSecond <= 0) return MAX_RETRY_AFTER_MILLIS
        return ((1 - state.tokens) * MILLIS_PER_SECOND / ratePerSecond).toLong().coerceIn(1, MAX_RETRY_AFTER_MILLIS)
    }

    /** Time between two tokens in ms, at most 5 s. */
    public val tokenMillis: Long
        get() {
            if (ratePerSecond <= 0) return MAX_RETRY_AFTER_MILLIS
            return (MILLIS_PER_SECOND / ratePerSecond).toLong().coerceAtMost(MAX_RETRY_AFTER_MILLIS)
        }

    public companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Longest time after which a caller is told to return, in ms. */
        public const val MAX_RETRY_AFTER_MILLIS: Long = 5_000
    }
}
