package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [ShareHolderDecider]. */
public sealed interface ShareHolderMessage {
    /**
     * The control leader granted or renewed the lease of a share.
     *
     * @property unleasedMillis for how long the share was not leased before, on the leader's clock
     * @property requestedMillis local monotonic time before the request was sent
     */
    public data class LeaseGranted(
        val organisation: OrganisationId,
        val fleetLimit: RateLimit,
        val partsPerMillion: Int,
        val requestedMillis: Long,
        val leaseMillis: Long,
        val unleasedMillis: Long = 0,
    ) : ShareHolderMessage

    /** The plans or grants changed; an organisation that is missing in [limits] gets no more tokens. */
    public data class LimitsChanged(val limits: Map<OrganisationId, RateLimit>) : ShareHolderMessage

    /** A daemon settled batches and requested tokens. */
    public data class TokensRequested(
        val replyId: Long,
        val request: TokenRequest,
    ) : ShareHolderMessage
}
