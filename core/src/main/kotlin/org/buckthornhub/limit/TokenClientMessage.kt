package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [TokenClientDecider]. */
public sealed interface TokenClientMessage {
    /** A request needs one token of [organisation]. */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val limit: RateLimit,
        val deadlineMillis: Long,
    ) : TokenClientMessage

    /** The holder of [zone] replied; [requested] contains all batch requests that were sent, granted or not. */
    public data class ReplyReceived(
        val zone: ZoneId,
        val requested: List<BatchRequest>,
        val reply: TokenReply,
    ) : TokenClientMessage

    /** The set of zones with a share holder changed; the local zone comes first. */
    public data class ZonesChanged(val zones: List<ZoneId>) : TokenClientMessage

    /** Periodic timer, every [TokenClientDecider.TICK_MILLIS]. */
    public data object Tick : TokenClientMessage

    /** The daemon is shutting down: all unspent tokens are returned. */
    public data object Leave : TokenClientMessage
}
