package org.buckthornhub.fleet

import kotlin.random.Random

/** Selects the daemons that are probed in one period. Their number does not depend on the size of the fleet. */
internal class ProbeSelector(private val settings: FleetSettings) {
    /** Returns the address of each daemon to probe, with its VM if that is known. */
    fun select(state: FleetState, random: Random): List<Pair<VmId?, String>> {
        val (local, remote) = state.livePeers().partition { it.zone == state.self.zone }
        val isRemoteDue = local.isEmpty() || state.ticks % settings.remoteProbeTicks == 0L
        val isUnreachableDue = state.livePeers().isEmpty() || state.ticks % settings.deadProbeTicks == 0L
        return nextOf(local, state).map { it.vm to it.address } + listOfNotNull(
            if (isRemoteDue) remote.randomOrNull(random)?.let { it.vm to it.address } else null,
            if (isUnreachableDue) unreachable(state).randomOrNull(random) else null,
        )
    }

    /** Returns the relays for indirect probes of [vm]. Daemons of the own zone are preferred. */
    fun relays(state: FleetState, vm: VmId, random: Random): List<String> = state
        .livePeers()
        .filter { it.vm != vm && it.state == DaemonState.ALIVE }
        .shuffled(random)
        .sortedBy { it.zone != state.self.zone }
        .take(settings.relays)
        .map { it.address }

    // Round robin with an offset per daemon, so that the daemons of a zone do not all probe the same one. In a small zone few
    // daemons would detect a failure, so each probes two per period.
    private fun nextOf(local: List<DaemonEntry>, state: FleetState): List<DaemonEntry> {
        val probes = if (local.size < settings.smallZoneSize) minOf(2, local.size) else 1
        return List(probes) { local[Math.floorMod(state.ticks * probes + it + state.self.vm.value.hashCode(), local.size)] }
    }

    // Dead daemons are probed as well, because after a partition nothing else would reconnect its two sides.
    private fun unreachable(state: FleetState): List<Pair<VmId?, String>> {
        val known = state.view.daemons.values.map { it.address }
        val dead = state.view.daemons.values.filter { it.state == DaemonState.DEAD && it.vm != state.self.vm }
        return dead.sortedBy { it.vm.value }.map { it.vm to it.address } + settings.seeds.filter { it !in known }.map { null to it }
    }
}
