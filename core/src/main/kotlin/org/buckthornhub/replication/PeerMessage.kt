package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What members tell one another. Every message may be lost, doubled, delayed or reordered. */
@Serializable
public sealed interface PeerMessage {
    public val from: Member

    /** From a VM that is in no quorum that it knows of. [round] is given back, so that old answers are told apart. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        override val from: Member,
        val round: Long,
    ) : PeerMessage

    /** Answers a [Hello] of [asker]; [members] is empty if the sender is in no quorum either. */
    @Serializable
    @SerialName("hello-answer")
    public data class HelloAnswer(
        override val from: Member,
        val asker: Member,
        val round: Long,
        val members: Set<Member>,
    ) : PeerMessage

    /**
     * Asks for a vote in [term].
     *
     * @property isPreVote asks only whether the vote would be given; nothing is promised
     * @property to the member that is asked; its VM with another disk gives no vote
     */
    @Serializable
    @SerialName("vote-request")
    public data class VoteRequest(
        override val from: Member,
        val term: Long,
        val lastIndex: Long,
        val lastTerm: Long,
        val isPreVote: Boolean,
        val to: Member,
    ) : PeerMessage

    /** Answers a [VoteRequest]; [term] is the term asked for if granted, else that of the sender. */
    @Serializable
    @SerialName("vote-answer")
    public data class VoteAnswer(
        override val from: Member,
        val term: Long,
        val isPreVote: Boolean,
        val isGranted: Boolean,
    ) : PeerMessage

    /**
     * Entries after [previousIndex]; a heartbeat if there are none.
     *
     * @property round counts the broadcasts of the leader
     * @property confirmedEcho newest echo of the receiver after which a majority confirmed the leader, in the receiver's ms
     */
    @Serializable
    @SerialName("append")
    public data class Append(
        override val from: Member,
        val term: Long,
        val round: Long,
        val previousIndex: Long,
        val previousTerm: Long,
        val entries: List<LogEntry>,
        val commitIndex: Long,
        val confirmedEcho: Long? = null,
    ) : PeerMessage

    /** The snapshot of the leader, for a member that lacks entries that are gone. */
    @Serializable
    @SerialName("install")
    public data class Install(
        override val from: Member,
        val term: Long,
        val round: Long,
        val snapshot: Snapshot,
    ) : PeerMessage

    /**
     * Answers [Append] and [Install].
     *
     * @property index last index that is the same as the leader's if [isMatched], else where the leader should try
     * @property echo monotonic time of the sender in ms
     */
    @Serializable
    @SerialName("append-answer")
    public data class AppendAnswer(
        override val from: Member,
        val term: Long,
        val round: Long,
        val isMatched: Boolean,
        val index: Long,
        val echo: Long,
    ) : PeerMessage
}
