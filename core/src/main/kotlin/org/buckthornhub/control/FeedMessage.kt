package org.buckthornhub.control

/** What the feed of one daemon is told. */
public sealed interface FeedMessage {
    public data object Start : FeedMessage

    /** @param askedMillis local time before the question was sent */
    public data class Answered(
        val attempt: Long,
        val askedMillis: Long,
        val answer: FeedAnswer,
    ) : FeedMessage

    /** The question got no answer in time. */
    public data class Failed(val attempt: Long) : FeedMessage

    /** The live daemons of the own zone, as addresses. */
    public data class Peers(val addresses: List<String>) : FeedMessage

    /** Withdraw these keys now, whether the quorum can be reached or not. */
    public data class Withdraw(val keyNames: Set<String>) : FeedMessage

    /** The quorum knows no keys of these names. */
    public data class Discard(val keyNames: Set<String>) : FeedMessage

    /** Tell the quorum again what it has not recorded. */
    public data object Remind : FeedMessage
}
