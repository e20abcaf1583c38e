package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** What a member is in the current term. */
public sealed interface Role {
    /** @property heardMillis when [leader] was last heard */
    public data class Follower(
        val leader: Member? = null,
        val heardMillis: Long? = null,
    ) : Role

    /** Asks whether an election would be won, without disturbing a leader that others still hear. */
    public data class PreCandidate(val votes: PersistentSet<Member>) : Role

    public data class Candidate(val votes: PersistentSet<Member>) : Role

    /**
     * @property firstIndex of the entry that this leader began its term with
     * @property sentMillis when each broadcast that is not yet confirmed was sent
     * @property confirmedMillis when the newest broadcast that a majority answered was sent
     * @property answers tokens by the index whose outcome they wait for
     * @property confirmations tokens by the broadcast whose majority they wait for
     */
    public data class Leader(
        val firstIndex: Long,
        val sinceMillis: Long,
        val followers: PersistentMap<Member, Progress>,
        val confirmedMillis: Long,
        val round: Long = 0,
        val confirmedRound: Long = 0,
        val sentMillis: PersistentMap<Long, Long> = persistentMapOf(),
        val nextHeartbeatMillis: Long = 0,
        val waiting: PersistentList<ReplicationMessage.Propose> = persistentListOf(),
        val answers: PersistentMap<Long, Long> = persistentMapOf(),
        val confirmations: PersistentMap<Long, Long> = persistentMapOf(),
    ) : Role
}
