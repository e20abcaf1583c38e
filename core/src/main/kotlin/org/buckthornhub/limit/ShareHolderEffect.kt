package org.buckthornhub.limit

/** Effects requested by [ShareHolderDecider]. */
public sealed interface ShareHolderEffect {
    /** Reply to the daemon that sent the request. */
    public data class Reply(
        val replyId: Long,
        val reply: TokenReply,
    ) : ShareHolderEffect
}
