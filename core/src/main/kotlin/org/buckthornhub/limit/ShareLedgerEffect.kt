package org.buckthornhub.limit

/** Effects requested by [ShareLedgerDecider]. */
public sealed interface ShareLedgerEffect {
    /** Reply to a request, after the quorum has confirmed that this VM is still the leader. */
    public data class Reply(
        val replyId: Long,
        val reply: ShareReply,
    ) : ShareLedgerEffect
}
