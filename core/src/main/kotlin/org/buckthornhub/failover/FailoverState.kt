package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/**
 * @property seenLed groups that had a primary in the directory at some time
 * @property leaderlessSince since when each group has had no primary in the directory (local monotonic ms)
 * @property unfit instances that the last orders could not promote
 */
public data class FailoverState(
    val phases: PersistentMap<GroupId, FailoverPhase> = persistentMapOf(),
    val seenLed: PersistentSet<GroupId> = persistentSetOf(),
    val leaderlessSince: PersistentMap<GroupId, Long> = persistentMapOf(),
    val unfit: PersistentSet<TargetId> = persistentSetOf(),
) {
    internal fun phaseOf(group: GroupId): FailoverPhase = phases[group] ?: FailoverPhase.Watching

    internal fun with(group: GroupId, phase: FailoverPhase): FailoverState = copy(phases = phases.put(group, phase))
}
