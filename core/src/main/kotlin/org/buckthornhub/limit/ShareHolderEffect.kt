package org.buckthornhub.limit

/** What the holder of a zone's shares wants done. */
public sealed interface ShareHolderEffect {
    /** Answer the daemon that asked. */
    public data class Reply(
        val replyId: Long,
        val reply: TokenReply,
    ) : ShareHolderEffect
}
