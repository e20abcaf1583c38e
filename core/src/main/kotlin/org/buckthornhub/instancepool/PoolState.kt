package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/**
 * All connections of one daemon, and who waits for one.
 *
 * @property limits connections that this daemon may hold at one instance, by group
 */
public data class PoolState(
    val instances: PersistentMap<TargetId, PoolInstance> = persistentMapOf(),
    val limits: PersistentMap<GroupId, Int> = persistentMapOf(),
    val waiting: PersistentList<WaitingWant> = persistentListOf(),
    val nextConnection: Long = 1,
) {
    internal fun limitOf(group: GroupId): Int = limits[group] ?: 1

    internal fun update(target: TargetId, change: PoolInstance.() -> PoolInstance): PoolState {
        val instance = instances[target] ?: return this
        return copy(instances = instances.put(target, instance.change()))
    }
}
