package org.buckthornhub.quota

/**
 * Asks the reserve again when the announced token is due, gives back what it does not need, and takes a recent refusal by the
 * reserve as proof that the organisation has used its burst.
 */
public object AdaptiveReserveUse : ReserveUse {
    // While the reserve runs short, a token drawn ahead is one that another daemon lacks.
    override fun prefetch(limiter: OrganisationLimiter, nowMillis: Long): Int =
        if (isShort(limiter, nowMillis)) 0 else FixedReserveUse.prefetch(limiter, nowMillis)

    // A longer backoff would refuse the very caller that was told to return for that token.
    override fun nextRequestMillis(retryAfterMillis: Long, nowMillis: Long): Long =
        nowMillis + retryAfterMillis.coerceIn(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS)

    // What is left may also be spent while the reserve of a new leader, which starts empty, fills up. The window counts from the
    // last use, because two windows that adjoin would allow the tokens of both at once.
    override fun withFallbackSpent(limiter: OrganisationLimiter, nowMillis: Long): OrganisationLimiter? {
        limiter.unreachableMillis?.takeIf { nowMillis - it < RISE_MILLIS } ?: return null
        val allowed = if (limiter.isInFlood) limiter.fallbackTokens.inFlood else limiter.fallbackTokens.usual
        val isNewWindow = nowMillis - limiter.fallbackWindowMillis >= FixedReserveUse.FALLBACK_WINDOW_MILLIS
        val spent = if (isNewWindow) 0 else limiter.fallbackSpent
        return if (spent >= allowed) null else limiter.copy(fallbackSpent = spent + 1, fallbackWindowMillis = nowMillis)
    }

    override fun returned(limiter: OrganisationLimiter, nowMillis: Long): Int {
        val leftMillis = limiter.reserveTokensExpireMillis - nowMillis
        val isUnneeded = limiter.waiting.isEmpty() && (isShort(limiter, nowMillis) || leftMillis <= RETURN_BEFORE_MILLIS)
        return if (leftMillis > 0 && isUnneeded) limiter.reserveTokens else 0
    }

    override fun isInFlood(limiter: OrganisationLimiter, nowMillis: Long): Boolean = isInWindow(limiter.lowMillis, nowMillis)

    private fun isShort(limiter: OrganisationLimiter, nowMillis: Long) = isInWindow(limiter.shortMillis, nowMillis)

    private fun isInWindow(millis: Long?, nowMillis: Long) = millis != null && nowMillis - millis < WINDOW_MILLIS

    override fun unannouncedMillis(limiter: OrganisationLimiter): Long =
        minOf(limiter.rate.retryAfterMillis(limiter.bucket), UNANNOUNCED_MILLIS)

    /** Window over which operators check limits; a refusal before it says nothing about the present one. In ms. */
    private const val WINDOW_MILLIS = 5_000L

    /** Time after the last request without an answer for which the reserve of a new leader may still be filling up; in ms. */
    private const val RISE_MILLIS = 2_000L

    /** Longer than a round trip to the leader, so that a flood does not ask it more often than that; in ms. */
    private const val MIN_BACKOFF_MILLIS = 10L

    /** Some round trips. With 100 ms, three times as many operations were refused in the replay while a token was left. */
    private const val MAX_BACKOFF_MILLIS = 30L

    /** Tokens that expire this soon are returned; one interval of the tick, so that none expires between two. In ms. */
    private const val RETURN_BEFORE_MILLIS = 250L

    /** Time to retry where nothing else is known: about one announced token of a small organisation. In ms. */
    private const val UNANNOUNCED_MILLIS = 250L
}
