package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.load.FleetLoad
import org.buckthornhub.instancepool.waiting.WaitingState
import org.buckthornhub.target.TargetId

/**
 * State of the connection pool of one daemon.
 *
 * @property limits maximum number of connections that this daemon may hold to one instance, by group
 * @property shortLived groups to whose instances no idle connection is kept
 * @property waiting requests that wait for a connection, in the order of their arrival
 * @property load measurements of more than one instance, and the shares of reads that leave the zone
 * @property waits measurements and schedules where waiting follows the measured load
 */
public data class PoolState(
    val instances: PersistentMap<TargetId, PoolInstance> = persistentMapOf(),
    val limits: PersistentMap<GroupId, Int> = persistentMapOf(),
    val shortLived: Set<GroupId> = emptySet(),
    val waiting: PersistentList<PendingConnectionRequest> = persistentListOf(),
    val nextConnection: Long = 1,
    val load: FleetLoad = FleetLoad(),
    val waits: WaitingState = WaitingState(),
) {
    internal fun limitOf(group: GroupId): Int = limits[group] ?: 1

    internal fun update(target: TargetId, change: PoolInstance.() -> PoolInstance): PoolState {
        val instance = instances[target] ?: return this
        return copy(instances = instances.put(target, instance.change()))
    }
}
