package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/** Message between members of the quorum. Any message may be lost, duplicated, delayed or reordered. */
@Serializable
public sealed interface PeerMessage {
    public val from: Member

    /** Approximate size of the encoded entries or snapshot, in characters; 0 for other messages. */
    public val chars: Long get() = 0

    /** Discovery request. [round] is returned in the answer, so that late answers can be recognised. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        override val from: Member,
        val round: Long,
    ) : PeerMessage

    /** Answer to a [Hello] of [asker]. [members] is empty if the sender knows of no quorum either. */
    @Serializable
    @SerialName("hello-answer")
    public data class HelloAnswer(
        override val from: Member,
        val asker: Member,
        val round: Long,
        val members: Set<Member>,
    ) : PeerMessage

    /**
     * Requests a vote in [term].
     *
     * @property isPreVote only checks whether the vote would be granted; the receiver is not bound by its answer
     * @property to the member whose vote is requested; the same VM with another disk does not grant it
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

    /** Answer to a [VoteRequest]. [term] is the requested term if the vote is granted, otherwise the current term of the sender. */
    @Serializable
    @SerialName("vote-answer")
    public data class VoteAnswer(
        override val from: Member,
        val term: Long,
        val isPreVote: Boolean,
        val isGranted: Boolean,
    ) : PeerMessage

    /**
     * Replicates the entries after [previousIndex]; without entries it is a heartbeat.
     *
     * @property round number of the leader's broadcast
     * @property confirmedEcho newest echo of the receiver after which a majority confirmed the leader; receiver's monotonic clock, in ms
     * @property confirmedRun run of the receiver that gave [confirmedEcho]; null from a version that keeps no run, which confirms nothing
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
        val confirmedRun: RunId? = null,
    ) : PeerMessage {
        override val chars: Long get() = entries.sumOf { it.content.chars.toLong() }
    }

    /** Snapshot of the leader, for a member that lacks entries that have already been compacted. */
    @Serializable
    @SerialName("install")
    public data class Install(
        override val from: Member,
        val term: Long,
        val round: Long,
        val snapshot: Snapshot,
    ) : PeerMessage {
        override val chars: Long get() = snapshot.chars
    }

    /**
     * Answer to [Append] and [Install].
     *
     * @property index last index that matches the leader's log if [isMatched], otherwise the index from which the leader should retry
     * @property echo monotonic time of the sender at the answer, in ms
     * @property run run of the sender, which [echo] is bound to; null from a version that sends no run, whose echo is not returned
     * @property zone availability zone of the sender; null if it is not known
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
        val run: RunId? = null,
        val zone: ZoneId? = null,
    ) : PeerMessage
}
