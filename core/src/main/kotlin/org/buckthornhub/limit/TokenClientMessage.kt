package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/** What the task that admits requests is told. */
public sealed interface TokenClientMessage {
    /** A request wants one token of [organisation]. */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val limit: RateLimit,
        val deadlineMillis: Long,
    ) : TokenClientMessage

    /** The holder of [zone] answered; [asked] are all asks of the request, granted or not. */
    public data class Answered(
        val zone: ZoneId,
        val asked: List<TokenAsk>,
        val reply: TokenReply,
    ) : TokenClientMessage

    /** Zones that have a holder, the own one first. */
    public data class Zones(val zones: List<ZoneId>) : TokenClientMessage

    /** Time has passed. */
    public data object Tick : TokenClientMessage

    /** The daemon leaves: every token that is not needed goes back. */
    public data object Leave : TokenClientMessage
}
