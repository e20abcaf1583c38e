package org.buckthornhub.fleet

import kotlin.random.Random

/** Chooses which daemons are probed in one period; the number does not depend on the size of the fleet. */
internal class ProbePlan(private val settings: FleetSettings) {
    /** Address of each daemon to probe, with its name if it is known. */
    fun choose(state: FleetState, random: Random): List<Pair<VmId?, String>> {
        val (near, far) = state.livePeers().partition { it.zone == state.self.zone }
        val isFarDue = near.isEmpty() || state.ticks % settings.remoteProbeTicks == 0L
        val isLostDue = state.livePeers().isEmpty() || state.ticks % settings.deadProbeTicks == 0L
        return nextOf(near, state).map { it.vm to it.address } + listOfNotNull(
            if (isFarDue) far.randomOrNull(random)?.let { it.vm to it.address } else null,
            if (isLostDue) lost(state).randomOrNull(random) else null,
        )
    }

    /** Daemons that are asked to reach [vm]: of the own zone first, since they decide about it together. */
    fun relays(state: FleetState, vm: VmId, random: Random): List<String> = state
        .livePeers()
        .filter { it.vm != vm && it.state == DaemonState.ALIVE }
        .shuffled(random)
        .sortedBy { it.zone != state.self.zone }
        .take(settings.relays)
        .map { it.address }

    // Each daemon goes round in its own phase, so that a zone's daemons don't all probe the same one. Where a zone is
    // small, few others would find a death, so each probes two at a time.
    private fun nextOf(near: List<DaemonEntry>, state: FleetState): List<DaemonEntry> {
        val probes = if (near.size < settings.smallZone) minOf(2, near.size) else 1
        return List(probes) { near[Math.floorMod(state.ticks * probes + it + state.self.vm.value.hashCode(), near.size)] }
    }

    // Probing the dead is what ends a partition: nobody else would tell this side that the other one is back.
    private fun lost(state: FleetState): List<Pair<VmId?, String>> {
        val known = state.view.daemons.values.map { it.address }
        val dead = state.view.daemons.values.filter { it.state == DaemonState.DEAD && it.vm != state.self.vm }
        return dead.sortedBy { it.vm.value }.map { it.vm to it.address } + settings.seeds.filter { it !in known }.map { null to it }
    }
}
