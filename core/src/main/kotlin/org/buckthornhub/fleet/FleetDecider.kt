package org.buckthornhub.fleet

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole
import kotlin.random.Random

/**
 * Failure detection and membership after SWIM: a daemon that does not answer probes is suspected first, and declared dead unless
 * it refutes the suspicion in time.
 *
 * Changes of daemons and targets are piggybacked on the probes, so the traffic of a daemon does not grow with the fleet.
 */
public class FleetDecider(private val settings: FleetSettings) : Decider<FleetState, FleetMessage, FleetEffect> {
    private val writer = GossipWriter(settings)
    private val selector = ProbeSelector(settings)

    override fun decide(state: FleetState, message: FleetMessage, nowMillis: Long): Decision<FleetState, FleetEffect> = when (message) {
        is FleetMessage.Tick -> tick(state, nowMillis)
        is FleetMessage.Announced -> announced(state, message.entry, nowMillis)
        is FleetMessage.Received -> received(state, message, nowMillis)
        is FleetMessage.Acknowledged -> Decision(merge(state, message.body, nowMillis))
        is FleetMessage.ProbeFailed -> probeIndirectly(state, message.vm, nowMillis)
        is FleetMessage.RelaysFailed -> Decision(suspect(state, message.vm, nowMillis))
        is FleetMessage.Leave -> leave(state, nowMillis)
    }

    private fun tick(state: FleetState, nowMillis: Long): Decision<FleetState, FleetEffect> {
        val random = Random(state.seed)
        val aged = purge(expireSuspects(state, nowMillis), nowMillis)
        val selected = selector.select(aged, random)
        val next = aged.copy(ticks = aged.ticks + 1, seed = random.nextLong())
        return sendTo(next, selected, nowMillis)
    }

    // A new primary is pushed to some peers immediately, because callers wait for it; a small fleet learns of it without
    // waiting for the next probe period.
    private fun announced(state: FleetState, entry: TargetEntry, nowMillis: Long): Decision<FleetState, FleetEffect> {
        val merged = TargetMerge.mergeOwn(state, entry, nowMillis)
        val knownTerm = state.view.targets[entry.target]?.term ?: return Decision(merged)
        if (entry.role != TargetRole.PRIMARY || entry.term <= knownTerm) return Decision(merged)
        val random = Random(merged.seed)
        val recipients = merged.livePeers().shuffled(random).take(settings.eagerPeers)
        return sendTo(merged.copy(seed = random.nextLong()), recipients.map { it.vm to it.address }, nowMillis)
    }

    private fun sendTo(state: FleetState, peers: List<Pair<VmId?, String>>, nowMillis: Long): Decision<FleetState, FleetEffect> =
        peers.fold(Decision(state, persistentListOf())) { decision, (vm, address) ->
            val isAlone = decision.state.livePeers().isEmpty()
            val (counted, body) = writer.write(decision.state, vm, nowMillis, join = isAlone)
            Decision(counted, decision.effects.add(FleetEffect.Probe(vm, address, body)))
        }

    private fun received(state: FleetState, message: FleetMessage.Received, nowMillis: Long): Decision<FleetState, FleetEffect> {
        val merged = merge(state, message.body, nowMillis)
        if (message.body.join) {
            return Decision(merged, persistentListOf(FleetEffect.Reply(message.exchange, writer.writeAll(merged, nowMillis))))
        }
        val (counted, body) = writer.write(merged, message.body.from.vm, nowMillis)
        return Decision(counted, persistentListOf(FleetEffect.Reply(message.exchange, body)))
    }

    private fun merge(state: FleetState, body: GossipBody, nowMillis: Long): FleetState {
        val daemons = DaemonMerge.mergeAll(state, body.daemons + body.from, nowMillis)
        return TargetMerge.mergeAll(daemons, body.targets, nowMillis, settings.dropMillis(state.view.targets.size))
    }

    private fun probeIndirectly(state: FleetState, vm: VmId, nowMillis: Long): Decision<FleetState, FleetEffect> {
        val silent = state.view.daemons[vm]?.takeIf { it.state != DaemonState.DEAD } ?: return Decision(state)
        val random = Random(state.seed)
        val relays = selector.relays(state, vm, random)
        if (relays.isEmpty()) return Decision(suspect(state, vm, nowMillis))
        val (counted, body) = writer.write(state.copy(seed = random.nextLong()), vm, nowMillis)
        return Decision(counted, persistentListOf(FleetEffect.ProbeThrough(relays, vm, silent.address, body)))
    }

    private fun suspect(state: FleetState, vm: VmId, nowMillis: Long): FleetState {
        val silent = state.view.daemons[vm]?.takeIf { it.state == DaemonState.ALIVE } ?: return state
        return DaemonMerge.put(state, silent.copy(state = DaemonState.SUSPECT), nowMillis)
    }

    private fun expireSuspects(state: FleetState, nowMillis: Long): FleetState = state.view.daemons.values
        .filter { it.vm != state.self.vm && isOverdue(state, it, nowMillis) }
        .fold(state) { aged, entry -> DaemonMerge.put(aged, entry.copy(state = DaemonState.DEAD), nowMillis) }

    private fun isOverdue(state: FleetState, entry: DaemonEntry, nowMillis: Long): Boolean {
        val isPending = entry.state == DaemonState.SUSPECT
        val limit = if (entry.zone == state.self.zone) settings.zoneSuspicionMillis else settings.remoteSuspicionMillis
        return isPending && nowMillis - (state.sinceMillis[entry.vm] ?: nowMillis) >= limit
    }

    private fun purge(state: FleetState, nowMillis: Long): FleetState {
        val dead = state.view.daemons.values.filter { isPurgeable(state, it, nowMillis) }.map { it.vm }
        val dropMillis = settings.dropMillis(state.view.targets.size)
        val silent = state.view.targets.values.filter { nowMillis - it.announcedMillis >= dropMillis }.map { it.target }
        if (dead.isEmpty() && silent.isEmpty()) return state
        return state.copy(
            view =
            FleetView(
                daemons = dead.fold(state.view.daemons) { daemons, vm -> daemons.remove(vm) },
                targets = silent.fold(state.view.targets) { targets, target -> targets.remove(target) },
            ),
            sinceMillis = dead.fold(state.sinceMillis) { since, vm -> since.remove(vm) },
            targetUpdates = silent.fold(state.targetUpdates) { updates, target -> updates.remove(target) },
        )
    }

    private fun isPurgeable(state: FleetState, entry: DaemonEntry, nowMillis: Long): Boolean {
        val isGone = entry.vm != state.self.vm && (entry.state == DaemonState.DEAD || entry.state == DaemonState.LEAVING)
        return isGone && nowMillis - (state.sinceMillis[entry.vm] ?: nowMillis) >= settings.forgetDeadMillis
    }

    private fun leave(state: FleetState, nowMillis: Long): Decision<FleetState, FleetEffect> {
        val leaving = DaemonMerge.putSelf(state, state.self.copy(state = DaemonState.LEAVING))
        val recipients = leaving.livePeers().filter { it.zone == leaving.self.zone || it.control }
        return sendTo(leaving, recipients.map { it.vm to it.address }, nowMillis)
    }
}
