package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentMap
import org.buckthornhub.target.TargetId

/** Chooses what one message tells: changes first, then a constant number of repeats. */
internal class GossipWriter(private val settings: FleetSettings) {
    /** The message to [peer], and the state that has counted it. */
    fun write(state: FleetState, peer: VmId?, nowMillis: Long, join: Boolean = false): Pair<FleetState, GossipBody> {
        val daemons = state.daemonNews.keys.sortedByDescending { state.daemonNews[it] }.take(settings.maxNews)
        val targets = state.targetNews.keys.sortedByDescending { state.targetNews[it] }.take(settings.maxNews)
        val body =
            GossipBody(
                from = state.self,
                daemons = (daemons + repeatedDaemons(state, peer)).distinct().mapNotNull { state.view.daemons[it] },
                targets = (targets + repeatedTargets(state)).distinct().mapNotNull { newsOf(state, it, nowMillis) },
                join = join,
            )
        val counted =
            state.copy(
                daemonNews = daemons.fold(state.daemonNews) { news, vm -> news.countedDown(vm) },
                targetNews = targets.fold(state.targetNews) { news, target -> news.countedDown(target) },
                cursor = state.cursor + 1,
            )
        return counted to body
    }

    /** Everything, for a daemon that joins. */
    fun writeAll(state: FleetState, nowMillis: Long): GossipBody = GossipBody(
        from = state.self,
        daemons = state.view.daemons.values.filter { it.vm != state.self.vm },
        targets = state.view.targets.keys.mapNotNull { newsOf(state, it, nowMillis) },
    )

    // A peer that is held for dead has to hear of it, or it can't contradict.
    private fun repeatedDaemons(state: FleetState, peer: VmId?): List<VmId> {
        val accused = listOfNotNull(peer?.takeIf { state.view.daemons[it]?.state != DaemonState.ALIVE })
        val all = state.view.daemons.keys.sortedBy { it.value }
        return accused + all[Math.floorMod(state.cursor, all.size)]
    }

    private fun repeatedTargets(state: FleetState) = state.view.targets.keys.sortedBy { it.value }.let { all ->
        List(minOf(settings.refreshedTargets, all.size)) { all[Math.floorMod(state.cursor * settings.refreshedTargets + it, all.size)] }
    }

    private fun newsOf(state: FleetState, target: TargetId, nowMillis: Long): TargetNews? =
        state.view.targets[target]?.let { TargetNews(it.copy(announcedMillis = 0), nowMillis - it.announcedMillis) }

    private fun <K> PersistentMap<K, Int>.countedDown(key: K): PersistentMap<K, Int> {
        val left = getValue(key) - 1
        return if (left > 0) put(key, left) else remove(key)
    }
}
