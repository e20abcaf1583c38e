package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [MeterDecider]. */
public sealed interface MeterMessage {
    /** An operation of [organisation] needs a token; [rate] is this daemon's share of the limit. */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val rate: MeterRate,
    ) : MeterMessage

    /** The reserve granted [tokens] of the [wanted] ones; 0 if it could not be reached. */
    public data class Drawn(
        val organisation: OrganisationId,
        val wanted: Int,
        val tokens: Int,
    ) : MeterMessage

    /** An admitted operation never reached a target; its token is refunded. */
    public data class Returned(val organisation: OrganisationId) : MeterMessage

    /** Periodic timer, every [MeterDecider.TICK_MILLIS]. */
    public data object Tick : MeterMessage
}
