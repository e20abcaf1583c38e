package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentMap
import org.buckthornhub.target.TargetId

/** Selects the content of a message: changes first, then a constant number of unchanged entries. */
internal class GossipWriter(private val settings: FleetSettings) {
    /** Returns the state with the transmissions counted, and the message to [peer]. */
    fun write(state: FleetState, peer: VmId?, nowMillis: Long, join: Boolean = false): Pair<FleetState, GossipBody> {
        val daemons = state.daemonUpdates.keys.sortedByDescending { state.daemonUpdates[it] }.take(settings.maxUpdates)
        val targets = state.targetUpdates.keys.sortedByDescending { state.targetUpdates[it] }.take(settings.maxUpdates)
        val body =
            GossipBody(
                from = state.self,
                daemons = (daemons + roundRobinDaemons(state, peer)).distinct().mapNotNull { state.view.daemons[it] },
                targets = (targets + roundRobinTargets(state)).distinct().mapNotNull { updateOf(state, it, nowMillis) },
                join = join,
            )
        val counted =
            state.copy(
                daemonUpdates = daemons.fold(state.daemonUpdates) { updates, vm -> updates.decremented(vm) },
                targetUpdates = targets.fold(state.targetUpdates) { updates, target -> updates.decremented(target) },
                cursor = state.cursor + 1,
            )
        return counted to body
    }

    /** Returns the complete view, for a daemon that joins. */
    fun writeAll(state: FleetState, nowMillis: Long): GossipBody = GossipBody(
        from = state.self,
        daemons = state.view.daemons.values.filter { it.vm != state.self.vm },
        targets = state.view.targets.keys.mapNotNull { updateOf(state, it, nowMillis) },
    )

    // A peer that is not seen as alive is sent its own entry, so that it can refute it.
    private fun roundRobinDaemons(state: FleetState, peer: VmId?): List<VmId> {
        val suspected = listOfNotNull(peer?.takeIf { state.view.daemons[it]?.state != DaemonState.ALIVE })
        val all = state.view.daemons.keys.sortedBy { it.value }
        return suspected + all[Math.floorMod(state.cursor, all.size)]
    }

    private fun roundRobinTargets(state: FleetState) = state.view.targets.keys.sortedBy { it.value }.let { all ->
        List(minOf(settings.refreshedTargets, all.size)) { all[Math.floorMod(state.cursor * settings.refreshedTargets + it, all.size)] }
    }

    private fun updateOf(state: FleetState, target: TargetId, nowMillis: Long): TargetNews? =
        state.view.targets[target]?.let { TargetNews(it.copy(announcedMillis = 0), nowMillis - it.announcedMillis) }

    private fun <K> PersistentMap<K, Int>.decremented(key: K): PersistentMap<K, Int> {
        val left = getValue(key) - 1
        return if (left > 0) put(key, left) else remove(key)
    }
}
