package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [RateLimiterDecider]. */
public sealed interface RateLimiterMessage {
    /**
     * An operation of [organisation] needs a token.
     *
     * @property rate this daemon's share of the limit
     * @property fallbackTokens operations that this daemon may admit in a window while it can't reach the reserve
     */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val rate: BucketRate,
        val fallbackTokens: FallbackTokens = FallbackTokens(),
    ) : RateLimiterMessage

    /**
     * The reserve granted [tokens] of the [wanted] ones.
     *
     * @property tokens null if the reserve could not be reached
     * @property retryAfterMillis time in ms until the first of the missing tokens
     * @property spacingMillis time in ms between those tokens
     * @property isLow whether the organisation may be about to exceed its limit
     */
    public data class ReserveReceived(
        val organisation: OrganisationId,
        val wanted: Int,
        val tokens: Int?,
        val retryAfterMillis: Long = 0,
        val spacingMillis: Long = 0,
        val isLow: Boolean = false,
    ) : RateLimiterMessage

    /** An admitted operation never reached a target; its token is refunded. */
    public data class Refunded(val organisation: OrganisationId) : RateLimiterMessage

    /** Periodic timer, every [RateLimiterDecider.TICK_MILLIS]. */
    public data object Tick : RateLimiterMessage
}
