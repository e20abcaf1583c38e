package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** What the meters of a daemon are told. */
public sealed interface MeterMessage {
    /** May [organisation] run one operation, where this daemon's part of its limit is [rate]? */
    public data class Admit(
        val ticket: Long,
        val organisation: OrganisationId,
        val rate: MeterRate,
    ) : MeterMessage

    /** The reserve gave [tokens] of the [wanted] ones. */
    public data class Drawn(
        val organisation: OrganisationId,
        val wanted: Int,
        val tokens: Int,
    ) : MeterMessage

    /** An operation that was let through never reached a target. */
    public data class Returned(val organisation: OrganisationId) : MeterMessage

    /** A quarter of a second went by. */
    public data object Tick : MeterMessage
}
