package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/**
 * State of the failovers of all groups.
 *
 * @property phases phase of each group; a missing group is in [FailoverPhase.Watching]
 * @property groupsSeenWithPrimary groups that have had a primary in the directory
 * @property withoutPrimarySince time from which each group has had no primary in the directory (local monotonic ms)
 * @property excluded instances that refused a promotion order; not surveyed until a promotion succeeds or no other candidate is left
 * @property addresses addresses at which each group with synchronous replicas has had instances
 * @property rounds number of rounds in which replicas were asked for their positions
 * @property receiving replicas that are known not to be paused by a failover, of this leader or an earlier one
 * @property orderCounts number of instances that this leader has ordered to lead each group; a missing group has none
 */
public data class FailoverState(
    val phases: PersistentMap<GroupId, FailoverPhase> = persistentMapOf(),
    val groupsSeenWithPrimary: PersistentSet<GroupId> = persistentSetOf(),
    val withoutPrimarySince: PersistentMap<GroupId, Long> = persistentMapOf(),
    val excluded: PersistentSet<TargetId> = persistentSetOf(),
    val orderCounts: PersistentMap<GroupId, Int> = persistentMapOf(),
    val addresses: PersistentMap<GroupId, KnownAddresses> = persistentMapOf(),
    val rounds: Long = 0,
    val receiving: PersistentSet<TargetId> = persistentSetOf(),
) {
    /** Whether some promotion waits for daemons to obey a designation. */
    public val isFencing: Boolean get() = phases.values.any { it is FailoverPhase.Fencing }

    internal fun phaseOf(group: GroupId): FailoverPhase = phases[group] ?: FailoverPhase.Watching

    internal fun with(group: GroupId, phase: FailoverPhase): FailoverState = copy(phases = phases.put(group, phase))
}
