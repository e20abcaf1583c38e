package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** Effects requested by [MeterDecider]. */
public sealed interface MeterEffect {
    public data class Admitted(val ticket: Long) : MeterEffect

    /** @property retryAfterMillis time in ms until the daemon's own share has the next token */
    public data class Refused(
        val ticket: Long,
        val retryAfterMillis: Long,
    ) : MeterEffect

    /** Request [tokens] from the control leader's reserve. */
    public data class Draw(
        val organisation: OrganisationId,
        val tokens: Int,
    ) : MeterEffect
}
