package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random

/** Deciders of many daemons on a simulated network in virtual time, with configurable message loss and partitions. */
internal class FleetNetwork(
    private val settings: FleetSettings,
    private val random: Random,
    private val lossPercent: Int = 0,
) {
    var nowMillis: Long = 0
        private set
    var isCut: (ZoneId, ZoneId) -> Boolean = { _, _ -> false }
    var maxEntries: Int = 0
        private set
    private val decider = FleetDecider(settings)
    private var nodes: PersistentMap<VmId, FleetState> = persistentMapOf()
    private var startedMillis: PersistentMap<VmId, Long> = persistentMapOf()
    private var pending: PersistentList<PendingMessage> = persistentListOf()

    fun start(vm: String, zone: String, incarnation: Long = 1) {
        val entry = DaemonEntry(VmId(vm), ZoneId(zone), address = vm, incarnation = incarnation)
        nodes = nodes.put(entry.vm, FleetState(entry))
        startedMillis = startedMillis.put(entry.vm, nowMillis + random.nextLong(settings.probeMillis))
    }

    fun stop(vm: String) {
        nodes = nodes.remove(VmId(vm))
    }

    fun inject(vm: String, message: FleetMessage) = deliver(VmId(vm), message)

    fun view(vm: String): FleetView = nodes.getValue(VmId(vm)).view

    fun running(): Set<VmId> = nodes.keys

    /** Runs until [condition] holds and returns the elapsed time in ms, or null after [limitMillis]. */
    fun runUntil(limitMillis: Long, condition: () -> Boolean): Long? {
        val startMillis = nowMillis
        while (nowMillis - startMillis <= limitMillis) {
            if (condition()) return nowMillis - startMillis
            step()
        }
        return null
    }

    fun run(millis: Long) {
        runUntil(millis) { false }
    }

    private fun step() {
        nowMillis += STEP_MILLIS
        val due = pending.filter { it.atMillis <= nowMillis }
        pending = pending.filter { it.atMillis > nowMillis }.toPersistentList()
        due.forEach { deliver(it.vm, it.message) }
        nodes.keys.filter { isTicking(it) }.forEach { deliver(it, FleetMessage.Tick) }
    }

    private fun isTicking(vm: VmId): Boolean {
        val age = nowMillis - startedMillis.getValue(vm)
        return age >= 0 && age % settings.probeMillis < STEP_MILLIS
    }

    private fun deliver(vm: VmId, message: FleetMessage) {
        val state = nodes[vm] ?: return
        val decision = decider.decide(state, message, nowMillis)
        nodes = nodes.put(vm, decision.state)
        decision.effects.forEach { carryOut(vm, it) }
    }

    private fun carryOut(vm: VmId, effect: FleetEffect) {
        when (effect) {
            is FleetEffect.Probe -> {
                val answer = exchange(vm, effect.address, effect.body)
                when {
                    answer != null -> schedule(vm, LATENCY_MILLIS, FleetMessage.Acknowledged(answer))
                    effect.vm != null -> schedule(vm, PROBE_TIMEOUT_MILLIS, FleetMessage.ProbeFailed(checkNotNull(effect.vm)))
                }
            }

            is FleetEffect.ProbeIndirectly -> {
                val relays = effect.relays.filter { VmId(it) in nodes && isReachable(vm, VmId(it)) }
                val answer = relays.firstNotNullOfOrNull { exchange(VmId(it), effect.address, effect.body) }
                val message = if (answer != null) FleetMessage.Acknowledged(answer) else FleetMessage.IndirectProbesFailed(effect.vm)
                schedule(vm, if (answer != null) LATENCY_MILLIS * 2 else RELAY_TIMEOUT_MILLIS, message)
            }

            is FleetEffect.Reply -> effect.exchange.complete(effect.body)
        }
    }

    private fun exchange(from: VmId, address: String, body: GossipBody): GossipBody? {
        val to = VmId(address)
        if (to !in nodes || !isReachable(from, to)) return null
        maxEntries = maxOf(maxEntries, body.daemons.size + body.targets.size)
        var answer: GossipBody? = null
        deliver(to, FleetMessage.Received(body) { answer = it })
        return answer.takeIf { isReachable(to, from) }
    }

    private fun isReachable(from: VmId, to: VmId): Boolean {
        val zones = listOf(from, to).map { nodes.getValue(it).self.zone }
        return !isCut(zones[0], zones[1]) && random.nextInt(PERCENT) >= lossPercent
    }

    private fun schedule(vm: VmId, millis: Long, message: FleetMessage) {
        pending = pending.add(PendingMessage(nowMillis + millis, vm, message))
    }

    private companion object {
        const val STEP_MILLIS = 10L
        const val LATENCY_MILLIS = 10L
        const val PROBE_TIMEOUT_MILLIS = 300L
        const val RELAY_TIMEOUT_MILLIS = 400L
        const val PERCENT = 100
    }
}
