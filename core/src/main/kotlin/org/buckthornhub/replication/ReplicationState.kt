package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import org.buckthornhub.control.MachineState
import org.buckthornhub.fleet.VmId
import kotlin.random.Random

/**
 * State of the consensus protocol on one member of the control quorum.
 *
 * @property commitIndex index of the last entry known to be committed; [machine] is the state after it
 * @property run identifies this run of the process, so that a time of an earlier one is recognised
 * @property electionDeadlineMillis local time at which to start a pre-vote unless a leader makes contact before
 * @property freshMillis local time at which a majority confirmed [machine] or an older state as current; null if never
 * @property resumedAtMillis local time of the start, or of the last resumption after a suspension; confirmations requested before it
 *   are ignored
 * @property helloRound round of the discovery; starts at random, so that answers to a former run match none of this one
 * @property introducers VMs that are contacted for discovery of the quorum
 * @property uninitialisedVms VMs that answered the hello of [helloRound] and are not in a quorum either
 */
public data class ReplicationState(
    val self: Member,
    val settings: ReplicationSettings,
    val seed: Long,
    val run: RunId,
    val durable: DurableState = DurableState(),
    val role: Role = Role.Follower(),
    val commitIndex: Long = durable.log.snapshot.index,
    val machine: MachineState = durable.log.snapshot.machine,
    val electionDeadlineMillis: Long? = null,
    val freshMillis: Long? = null,
    val resumedAtMillis: Long = 0,
    val introducers: PersistentSet<VmId> = settings.vms.toPersistentSet(),
    val helloRound: Long = Random(seed).nextLong(1, Long.MAX_VALUE / 2),
    val nextHelloMillis: Long = 0,
    val uninitialisedVms: PersistentMap<VmId, Member> = persistentMapOf(),
) {
    public val log: ReplicatedLog get() = durable.log

    /** True if this VM may become a candidate and counts towards the majority. */
    public val isMember: Boolean get() = self in log.members

    internal val otherMembers: List<Member> get() = log.members.filter { it != self }

    internal fun isMajority(agreeing: Collection<Member>): Boolean = log.members.count { it in agreeing } * 2 > log.members.size
}
