package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [RateLimiterDecider]. */
public sealed interface RateLimiterMessage {
    /** An operation of [organisation] needs a token; [rate] is this daemon's share of the limit. */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val rate: BucketRate,
    ) : RateLimiterMessage

    /** The reserve granted [tokens] of the [wanted] ones; 0 if it could not be reached. */
    public data class ReserveReceived(
        val organisation: OrganisationId,
        val wanted: Int,
        val tokens: Int,
    ) : RateLimiterMessage

    /** An admitted operation never reached a target; its token is refunded. */
    public data class Refunded(val organisation: OrganisationId) : RateLimiterMessage

    /** Periodic timer, every [RateLimiterDecider.TICK_MILLIS]. */
    public data object Tick : RateLimiterMessage
}
