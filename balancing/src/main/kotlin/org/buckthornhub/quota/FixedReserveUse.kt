package org.buckthornhub.quota

/** Draws ahead by the demand alone, waits a fixed time after each short answer, and keeps tokens until they expire. */
public object FixedReserveUse : ReserveUse {
    override fun prefetch(limiter: OrganisationLimiter, nowMillis: Long): Int =
        minOf((limiter.perSecond * PREFETCH_SECONDS).toInt(), MAX_PREFETCH)

    override fun nextRequestMillis(retryAfterMillis: Long, nowMillis: Long): Long = nowMillis + RESERVE_BACKOFF_MILLIS

    override fun withFallbackSpent(limiter: OrganisationLimiter, nowMillis: Long): OrganisationLimiter? {
        if (limiter.isReserveReached) return null
        val isNewWindow = nowMillis - limiter.fallbackWindowMillis >= FALLBACK_WINDOW_MILLIS
        val spent = if (isNewWindow) 0 else limiter.fallbackSpent
        if (spent >= limiter.fallbackTokens.fixed) return null
        return limiter.copy(
            fallbackSpent = spent + 1,
            fallbackWindowMillis = if (isNewWindow) nowMillis else limiter.fallbackWindowMillis,
        )
    }

    override fun isInFlood(limiter: OrganisationLimiter, nowMillis: Long): Boolean = false

    override fun returned(limiter: OrganisationLimiter, nowMillis: Long): Int = 0

    override fun unannouncedMillis(limiter: OrganisationLimiter): Long = limiter.rate.retryAfterMillis(limiter.bucket)

    /** Period for which tokens are requested in advance, so that not every operation costs a round trip; in s. */
    private const val PREFETCH_SECONDS = 0.1

    /** Maximum number of tokens requested in advance; unused ones are lost to the other daemons. */
    private const val MAX_PREFETCH = 8

    /** Backoff after the reserve granted less than requested; in ms. */
    internal const val RESERVE_BACKOFF_MILLIS = 100L

    /** Longer than the window over which operators check limits, in ms. */
    internal const val FALLBACK_WINDOW_MILLIS = 6_000L
}
