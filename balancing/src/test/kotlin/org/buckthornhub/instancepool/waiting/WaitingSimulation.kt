package org.buckthornhub.instancepool.waiting

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.instancepool.PoolDecider
import org.buckthornhub.instancepool.PoolEffect
import org.buckthornhub.instancepool.PoolMessage
import org.buckthornhub.instancepool.PoolSettings
import org.buckthornhub.instancepool.PoolState
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Replays a load on the pool of one daemon with three instances. Refused callers return when told to, until their deadline. */
internal class WaitingSimulation(
    private val case: WaitingCase,
    private val settings: WaitingSettings,
    seed: Int,
) {
    private val random = Random(seed)
    private val decider = PoolDecider(PoolSettings(ZoneId("a")), settings)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private val open = mutableMapOf<Long, Pair<SimulatedRequest, Long>>()
    private val waits = mutableMapOf<Int, List<Long>>()
    private val lastServed = mutableMapOf<Int, Long>()
    private val silences = mutableMapOf<Int, Long>()
    private var state = PoolState()
    private var ticket = 0L
    private var eventNumber = 0L
    private var outcome = WaitingOutcome()

    fun run(): WaitingOutcome {
        take(PoolMessage.Directory(recordsAt(0)), 0)
        take(PoolMessage.Limits(mapOf(group to LIMIT)), 0)
        case.kinds.forEach { kind -> (0 until ORGANISATIONS).forEach { arrivals(kind, OrganisationId("o$it")) } }
        (0L..END_MILLIS step TICK_MILLIS).forEach { now -> at(now) { take(PoolMessage.Tick, now) } }
        if (case.isPrimaryLost) at(REPLACED_MILLIS) { take(PoolMessage.Directory(recordsAt(REPLACED_MILLIS)), REPLACED_MILLIS) }
        while (true) (events.poll() ?: break).run()
        val percentiles = waits.mapValues { (_, all) -> all.sorted()[all.size * 95 / 100] }
        return outcome.copy(waitMillis = percentiles, longestSilenceMillis = silences)
    }

    private fun arrivals(kind: RequestKind, organisation: OrganisationId) {
        var now = 0.0
        while (true) {
            val isLoaded = now.toLong() in LOAD_MILLIS
            val flood = if (isLoaded && organisation == SimulatedRequest.FLOODING) case.flood else 1.0
            val burst = if (isLoaded) case.burst else 1.0
            now += -ln(1 - random.nextDouble()) / (kind.perSecond / ORGANISATIONS * flood * burst) * 1_000
            if (now > ARRIVALS_MILLIS) return
            val hasBegun = random.nextDouble() < kind.transactionPart
            val statements = if (hasBegun) case.transactionStatements else 1
            val holdMillis = (1..statements).sumOf { kind.workMillis * (0.5 + random.nextDouble()) + 2 }.toLong()
            val request = SimulatedRequest(kind, organisation, now.toLong(), holdMillis, hasBegun)
            if (request.isOrdinary) outcome = outcome.copy(asked = outcome.asked + 1)
            at(request.arrivedMillis) { ask(request, request.arrivedMillis) }
        }
    }

    private fun ask(request: SimulatedRequest, now: Long) {
        val kind = request.kind
        val requirement = if (kind.needsPrimary) ConnectionRequirement.Primary else ConnectionRequirement.AtLeast(floor)
        val asked = ConnectionRequest(group, request.organisation, requirement, kind.priority)
        val terms = WaitTerms(now, now, kind.objectiveMillis, kind.deadlineMillis, request.hasBegun)
        val holdMillis = state.waits.holds.costMillis(HoldKind.of(asked, request.hasBegun), now)
        val deadline = if (settings.rejectsOnArrival) terms.deadlineMillis(holdMillis) else now + kind.objectiveMillis / 4 - 10
        open[++ticket] = request to now
        if (state.waiting.none { it.request.priority == kind.priority }) lastServed[kind.priority] = now
        val waiting = PendingConnectionRequest(ticket, asked, now, deadline, request.hasBegun, terms.maxReturnMillis)
        take(PoolMessage.Acquire(waiting), now)
        at(deadline) { take(PoolMessage.Tick, deadline) }
        at(now + PoolDecider.EVICTION_DELAY_MILLIS) { take(PoolMessage.Tick, now + PoolDecider.EVICTION_DELAY_MILLIS) }
    }

    private fun take(message: PoolMessage, now: Long) {
        val decision = decider.decide(state, message, now)
        state = decision.state
        decision.effects.forEach { carryOut(it, now) }
    }

    private fun carryOut(effect: PoolEffect, now: Long): Unit = when (effect) {
        is PoolEffect.Open -> {
            val isUp = isUp(effect.instance.target, now)
            val result = if (isUp) {
                PoolMessage.Opened(effect.connection, effect.instance.target, floor)
            } else {
                PoolMessage.OpenFailed(effect.connection, effect.instance.target)
            }
            at(now + CONNECT_MILLIS) { take(result, now + CONNECT_MILLIS) }
        }
        is PoolEffect.CheckOut -> serve(effect, now)
        is PoolEffect.Refuse -> refuse(effect, now)
        is PoolEffect.Close, is PoolEffect.Return -> Unit
    }

    private fun serve(effect: PoolEffect.CheckOut, now: Long) {
        val (request, since) = open.getValue(effect.ticket)
        val priority = request.kind.priority
        silences.merge(priority, now - lastServed.getOrDefault(priority, now), ::maxOf)
        lastServed[priority] = now
        val target = effect.instance.target
        val ended = now + request.holdMillis
        if (!isUp(target, now) || !isUp(target, ended)) {
            val lost = now + LOST_MILLIS
            at(lost) { take(PoolMessage.Released(effect.connection.id, target, null, null, isSilent = true), lost) }
            at(lost) { again(request, lost, 0) }
            return
        }
        at(ended) {
            val kept = TargetConnectionState(effect.connection.state.organisation)
            take(PoolMessage.Released(effect.connection.id, target, kept, floor), ended)
        }
        if (!request.isOrdinary) return
        waits.merge(priority, listOf(now - since)) { known, more -> known + more }
        val isLate = ended - request.arrivedMillis > request.kind.objectiveMillis + request.holdMillis
        if (isLate) outcome = outcome.copy(late = outcome.late + 1)
    }

    private fun refuse(effect: PoolEffect.Refuse, now: Long) {
        val (request, since) = open.getValue(effect.ticket)
        val waited = now - since
        outcome = outcome.copy(
            refused = outcome.refused + if (request.isOrdinary) 1 else 0,
            refusedBegun = outcome.refusedBegun + if (request.hasBegun) 1 else 0,
            wasted = outcome.wasted + if (waited > 0) 1 else 0,
            wastedMillis = outcome.wastedMillis + waited,
        )
        again(request, now, effect.retryAfterMillis ?: if (effect.hasNoPrimary) 500 else 100)
    }

    private fun again(request: SimulatedRequest, now: Long, afterMillis: Long) {
        val returned = now + afterMillis + TRANSIT_MILLIS
        if (returned < request.arrivedMillis + request.kind.deadlineMillis) {
            at(returned) { ask(request, returned) }
        } else if (request.isOrdinary) {
            outcome = outcome.copy(failed = outcome.failed + 1)
        }
    }

    private fun isUp(target: TargetId, now: Long) = !case.isPrimaryLost || now < LOAD_MILLIS.first || target.value != "i0"

    private fun recordsAt(now: Long): List<InstanceRecord> {
        val isReplaced = now >= REPLACED_MILLIS
        return (if (isReplaced) 1..2 else 0..2).map { index ->
            val role = if (index == (if (isReplaced) 1 else 0)) TargetRole.PRIMARY else TargetRole.REPLICA
            InstanceRecord(TargetId("i$index"), group, "10.0.0.$index:1", ZoneId("a"), role, isLeaving = false, 1, 1)
        }
    }

    private fun at(millis: Long, action: () -> Unit) {
        events.add(Event(millis, eventNumber++, action))
    }

    private class Event(
        val atMillis: Long,
        val number: Long,
        private val action: () -> Unit,
    ) {
        fun run() = action()
    }

    private companion object {
        const val ORGANISATIONS = 10

        /** Connections of one daemon to one instance in a fleet of 89 daemons and 72 connections. */
        const val LIMIT = 4
        const val CONNECT_MILLIS = 14L
        const val TICK_MILLIS = 50L
        const val TRANSIT_MILLIS = 2L
        const val LOST_MILLIS = 150L
        const val ARRIVALS_MILLIS = 11_000L
        const val END_MILLIS = 24_000L
        const val REPLACED_MILLIS = 4_000L
        val LOAD_MILLIS = 2_000L..8_500L
        val group = GroupId("g")
        val floor = Position(Term(1), LogPosition(1))
    }
}
