package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Effects requested by [RateLimiterDecider]. */
public sealed interface RateLimiterEffect {
    public data class Admitted(val ticket: Long) : RateLimiterEffect

    /** @property retryAfterMillis time in ms until there is a token that no other caller was told of */
    public data class Refused(
        val ticket: Long,
        val organisation: OrganisationId,
        val retryAfterMillis: Long,
    ) : RateLimiterEffect

    /** Request [tokens] from the control leader's reserve. */
    public data class RequestReserve(
        val organisation: OrganisationId,
        val tokens: Int,
    ) : RateLimiterEffect

    /** Give [tokens] back to the control leader's reserve. */
    public data class ReturnTokens(
        val organisation: OrganisationId,
        val tokens: Int,
    ) : RateLimiterEffect
}
