package org.buckthornhub.limit

/** What the control leader's ledger of shares wants done. */
public sealed interface ShareLedgerEffect {
    /** Answer a request, once the quorum has confirmed that this VM still leads. */
    public data class Reply(
        val replyId: Long,
        val reply: ShareReply,
    ) : ShareLedgerEffect
}
