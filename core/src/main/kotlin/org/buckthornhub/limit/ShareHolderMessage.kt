package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId

/** What the holder of a zone's shares is told. */
public sealed interface ShareHolderMessage {
    /**
     * The control leader leased a share, or renewed it.
     *
     * @property unheldMillis for how long the share was in nobody's hands before, on the leader's clock
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

    /** The lists changed; an organisation that is missing has no limit any more and gets nothing. */
    public data class Relimited(val limits: Map<OrganisationId, RateLimit>) : ShareHolderMessage

    /** A daemon settles batches and asks for tokens. */
    public data class Asked(
        val replyId: Long,
        val request: TokenRequest,
    ) : ShareHolderMessage
}
