package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Role of a member in the current term. */
public sealed interface Role {
    /**
     * Follows [leader], if one is known.
     *
     * @property lastContactMillis local time of the last message from a leader; null if none has arrived
     */
    public data class Follower(
        val leader: Member? = null,
        val lastContactMillis: Long? = null,
    ) : Role

    /** Checks whether an election could be won, without disrupting a leader that other members still follow. */
    public data class PreCandidate(val votes: PersistentSet<Member>) : Role

    /** Has requested votes in the current term. */
    public data class Candidate(val votes: PersistentSet<Member>) : Role

    /**
     * Leads the quorum in the current term.
     *
     * @property firstIndex index of the first entry that this leader appended in its term
     * @property sinceMillis local time at which it became the leader
     * @property roundSentMillis send time of each unconfirmed broadcast, by round
     * @property confirmedMillis send time of the newest broadcast that a majority has acknowledged
     * @property queuedProposals proposals that are not yet appended to the log
     * @property proposals tokens of appended proposals, by log index
     * @property pendingConfirmations for each token, the round that a majority has to acknowledge
     */
    public data class Leader(
        val firstIndex: Long,
        val sinceMillis: Long,
        val followers: PersistentMap<Member, Progress>,
        val confirmedMillis: Long,
        val round: Long = 0,
        val confirmedRound: Long = 0,
        val roundSentMillis: PersistentMap<Long, Long> = persistentMapOf(),
        val nextHeartbeatMillis: Long = 0,
        val queuedProposals: PersistentList<ReplicationMessage.Propose> = persistentListOf(),
        val proposals: PersistentMap<Long, Long> = persistentMapOf(),
        val pendingConfirmations: PersistentMap<Long, Long> = persistentMapOf(),
    ) : Role
}
