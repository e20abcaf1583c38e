package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/** What the meters of a daemon want done. */
public sealed interface MeterEffect {
    public data class Admitted(val ticket: Long) : MeterEffect

    /** @property retryAfterMillis when the daemon's own part has the next token */
    public data class Refused(
        val ticket: Long,
        val retryAfterMillis: Long,
    ) : MeterEffect

    /** Ask the control leader for [tokens] of its reserve. */
    public data class Draw(
        val organisation: OrganisationId,
        val tokens: Int,
    ) : MeterEffect
}
