package org.buckthornhub.control

/** Messages handled by [FeedDecider]. */
public sealed interface FeedMessage {
    /** The feed starts. */
    public data object Start : FeedMessage

    /**
     * A source answered the request [attempt].
     *
     * @property askedMillis local time before the request was sent
     */
    public data class AnswerReceived(
        val attempt: Long,
        val askedMillis: Long,
        val answer: FeedAnswer,
    ) : FeedMessage

    /** The request [attempt] was not answered in time. */
    public data class Failed(val attempt: Long) : FeedMessage

    /** Current addresses of the live daemons of the own zone. */
    public data class PeersChanged(val addresses: List<String>) : FeedMessage

    /** Withdraws these keys locally at once, whether or not the quorum is reachable. */
    public data class Withdraw(val keyNames: Set<String>) : FeedMessage

    /** The quorum rejected the withdrawal of these keys, because it has none with these names. */
    public data class WithdrawalRejected(val keyNames: Set<String>) : FeedMessage

    /** Periodic trigger to propose withdrawals again that the quorum has not recorded. */
    public data object RetryRecording : FeedMessage
}
