package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId

/** Messages handled by [ShareHolderDecider]. */
public sealed interface ShareHolderMessage {
    /**
     * The control leader granted or renewed the lease of a share.
     *
     * @property unheldMillis for how long the share was not leased before, on the leader's clock
     * @property askedMillis local monotonic time before the request was sent
     */
    public data class Leased(
        val organisation: OrganisationId,
        val whole: RateLimit,
        val partsPerMillion: Int,
        val askedMillis: Long,
        val leaseMillis: Long,
        val unheldMillis: Long = 0,
    ) : ShareHolderMessage

    /** The plans or grants changed; an organisation that is missing in [limits] gets no more tokens. */
    public data class Relimited(val limits: Map<OrganisationId, RateLimit>) : ShareHolderMessage

    /** A daemon settled batches and requested tokens. */
    public data class Asked(
        val replyId: Long,
        val request: TokenRequest,
    ) : ShareHolderMessage
}
