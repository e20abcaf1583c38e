package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import org.buckthornhub.control.MachineState
import org.buckthornhub.fleet.VmId

/**
 * All that one member of the control quorum knows.
 *
 * @property commitIndex last entry known to be committed; [machine] is the state after it
 * @property electionAtMillis when to stand for election unless a leader is heard before
 * @property freshMillis local time at which a majority stood behind [machine] or an older state; null if never
 * @property awakeSinceMillis local time of the last suspension; proofs that were asked for before it count for nothing
 * @property introducers VMs that are asked for the quorum by one that is no member
 * @property blankVms VMs that answered the hello of [helloRound] and are in no quorum either
 */
public data class ReplicationState(
    val self: Member,
    val settings: ReplicationSettings,
    val seed: Long,
    val durable: DurableState = DurableState(),
    val role: Role = Role.Follower(),
    val commitIndex: Long = durable.log.snapshot.index,
    val machine: MachineState = durable.log.snapshot.machine,
    val electionAtMillis: Long? = null,
    val freshMillis: Long? = null,
    val awakeSinceMillis: Long = 0,
    val introducers: PersistentSet<VmId> = settings.vms.toPersistentSet(),
    val helloRound: Long = 0,
    val helloAtMillis: Long = 0,
    val blankVms: PersistentMap<VmId, Member> = persistentMapOf(),
) {
    public val log: ReplicatedLog get() = durable.log

    /** True if this VM may stand for election and counts in the majority. */
    public val isMember: Boolean get() = self in log.members

    internal val otherMembers: List<Member> get() = log.members.filter { it != self }

    internal fun isMajority(agreeing: Collection<Member>): Boolean = log.members.count { it in agreeing } * 2 > log.members.size
}
