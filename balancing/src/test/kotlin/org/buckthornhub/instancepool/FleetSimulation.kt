package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Simulates deployment 1: 89 daemons in 3 zones, 6 groups of an instance in each zone, and its three kinds of request. */
internal class FleetSimulation(
    private val case: FleetCase,
    private val adaptsToLoad: Boolean,
    seed: Int,
) {
    private val random = Random(seed)
    private val instances = records.associate { it.target to SimulatedInstance() }
    private val deciders = zoneOf.indices.map { daemon ->
        PoolDecider(PoolSettings(ZoneId(zoneOf[daemon]), adaptsToLoad = adaptsToLoad, seed = daemon.toLong()))
    }
    private val states = Array(zoneOf.size) { daemon ->
        val limits = PoolMessage.Limits(groups.associateWith { ConnectionShare.of(CONNECTIONS, daemon, zoneOf.size) }, groups.toSet())
        listOf(PoolMessage.Directory(records), limits).fold(PoolState()) { state, message ->
            deciders[daemon].decide(state, message, 0).state
        }
    }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private val waiting = HashMap<Pair<Int, Long>, SimulatedStatement>()
    private var nextEvent = 0L
    private var nextTicket = 0L
    private val times = mutableListOf<Double>()
    private val leavingTo = HashMap<String, Int>()
    private var busy = 0
    private var failed = 0
    private var lost = 0
    private val reads = IntArray(2)
    private val crossings = IntArray(2)

    fun run(): FleetOutcome {
        for (now in 0 until END_MILLIS step TICK_MILLIS) {
            zoneOf.indices.forEach { daemon -> at(now + daemon.toDouble() / zoneOf.size) { send(daemon, PoolMessage.Tick, it) } }
        }
        zoneOf.indices.forEach { daemon -> kinds.forEach { kind -> arrive(daemon, kind, 0.0) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis >= END_MILLIS) break
            event.action(event.atMillis)
        }
        val sorted = times.sorted()
        return FleetOutcome(
            sorted.average(),
            sorted[sorted.size * 95 / 100],
            busy,
            failed,
            lost,
            crossings[0].toDouble() / reads[0],
            crossings[1].toDouble() / reads[1].coerceAtLeast(1),
            leavingTo,
        )
    }

    private fun arrive(daemon: Int, kind: Kind, afterMillis: Double) {
        // Arrivals are drawn at the highest demand and thinned to the current one.
        val atMillis = afterMillis - ln(random.nextDouble()) * 1_000 * zoneOf.size / (kind.perSecond * case.load * MOST_DEMAND)
        at(atMillis) { now ->
            arrive(daemon, kind, now)
            if (random.nextDouble() * MOST_DEMAND < case.demand(zoneOf[daemon], now.toLong())) acquire(statement(daemon, kind, now), now)
        }
    }

    private fun statement(daemon: Int, kind: Kind, now: Double) = SimulatedStatement(
        daemon,
        groups.random(random),
        OrganisationId("o${random.nextInt(ORGANISATIONS)}"),
        if (random.nextDouble() < kind.onPrimary) ConnectionRequirement.Primary else ConnectionRequirement.AtLeast(floor),
        kind.priority,
        kind.workMillis * random.nextDouble(0.5, 1.5),
        kind.objectiveMillis / 4,
        now,
    )

    private fun acquire(statement: SimulatedStatement, now: Double) {
        val ticket = ++nextTicket
        waiting[statement.daemon to ticket] = statement
        val request =
            ConnectionRequest(statement.group, statement.organisation, statement.requirement, statement.priority, statement.excluded)
        val deadline = now.toLong() + statement.waitMillis
        send(statement.daemon, PoolMessage.Acquire(PendingConnectionRequest(ticket, request, now.toLong(), deadline)), now)
        if (statement.daemon to ticket !in waiting) return
        listOf(now.toLong() + PoolDecider.EVICTION_DELAY_MILLIS, deadline)
            .forEach { due -> at(due.toDouble()) { send(statement.daemon, PoolMessage.Tick, it) } }
    }

    private fun send(daemon: Int, message: PoolMessage, now: Double) {
        val decision = deciders[daemon].decide(states[daemon], message, now.toLong())
        states[daemon] = decision.state
        decision.effects.forEach { carryOut(daemon, it, now) }
    }

    private fun carryOut(daemon: Int, effect: PoolEffect, now: Double) {
        when (effect) {
            is PoolEffect.Open -> open(daemon, effect, now)
            is PoolEffect.Close, is PoolEffect.Return -> Unit
            is PoolEffect.CheckOut -> execute(daemon, effect, now)
            is PoolEffect.Refuse -> {
                val refused = waiting.remove(daemon to effect.ticket) ?: return
                if (counts(refused.arrivedMillis)) lost += 1
            }
        }
    }

    private fun open(daemon: Int, effect: PoolEffect.Open, now: Double) {
        val target = effect.instance.target
        val arrival = now + latency(daemon, effect.instance)
        val isUp = case.isUp(target.value, arrival.toLong()) && case.accepts(target.value, arrival.toLong())
        val done = if (isUp) instances.getValue(target).doneAt(arrival, CONNECT_MILLIS) else null
        if (isUp && done == null && counts(now)) busy += 1
        at((done ?: arrival) + latency(daemon, effect.instance)) {
            val opened = PoolMessage.Opened(effect.connection, target, null, it.toLong() - now.toLong())
            send(daemon, if (done == null) PoolMessage.OpenFailed(effect.connection, target) else opened, it)
        }
    }

    private fun execute(daemon: Int, effect: PoolEffect.CheckOut, now: Double) {
        val statement = waiting.remove(daemon to effect.ticket) ?: return
        val name = effect.instance.target.value
        val arrival = now + latency(daemon, effect.instance)
        countRead(statement, effect.instance, now)
        val isUp = case.isUp(name, arrival.toLong())
        val work = statement.workMillis * case.slowness(name, arrival.toLong())
        val done = if (isUp) instances.getValue(effect.instance.target).doneAt(arrival, work) else null
        val outcome = when {
            !isUp || random.nextDouble() < case.failing(name, arrival.toLong()) -> StatementOutcome.FAILED
            done == null -> StatementOutcome.BUSY
            else -> StatementOutcome.SERVED
        }
        at((done ?: arrival) + latency(daemon, effect.instance)) { answered(statement, effect, isUp, outcome, now, it) }
    }

    private fun answered(
        statement: SimulatedStatement,
        effect: PoolEffect.CheckOut,
        isUp: Boolean,
        outcome: StatementOutcome,
        sent: Double,
        now: Double,
    ) {
        val sample = StatementSample(statement.priority, now.toLong() - sent.toLong(), outcome)
        val kept = TargetConnectionState(effect.connection.state.organisation).takeIf { isUp }
        val released =
            PoolMessage.Released(effect.connection.id, effect.instance.target, kept, null, isSilent = !isUp, samples = listOf(sample))
        send(statement.daemon, released, now)
        if (counts(now) && outcome == StatementOutcome.BUSY) busy += 1
        if (counts(now) && outcome == StatementOutcome.FAILED) failed += 1
        val isCounted = counts(statement.arrivedMillis)
        when {
            outcome == StatementOutcome.SERVED -> if (isCounted) times.add(now - statement.arrivedMillis)
            statement.attempts + 1 < ATTEMPTS -> acquire(retryOf(statement, effect.instance.target), now)
            isCounted -> lost += 1
        }
    }

    private fun retryOf(statement: SimulatedStatement, target: TargetId) = statement.copy(
        attempts = statement.attempts + 1,
        excluded = if (statement.requirement is ConnectionRequirement.Primary) emptySet() else statement.excluded + target,
    )

    private fun countRead(statement: SimulatedStatement, instance: InstanceRecord, now: Double) {
        if (statement.requirement is ConnectionRequirement.Primary) return
        val period = if (counts(now)) {
            0
        } else if (now >= END_MILLIS - RETURN_MILLIS) {
            1
        } else {
            return
        }
        reads[period] += 1
        if (instance.zone.value == zoneOf[statement.daemon]) return
        crossings[period] += 1
        if (period == 0) leavingTo.merge(instance.target.value, 1, Int::plus)
    }

    private fun counts(millis: Double) = millis >= case.fromMillis && millis < case.toMillis

    private fun latency(daemon: Int, instance: InstanceRecord) = if (instance.zone.value == zoneOf[daemon]) 0.25 else 1.0

    private fun at(atMillis: Double, action: (Double) -> Unit) {
        events.add(Event(atMillis, nextEvent++, action))
    }

    private class Event(
        val atMillis: Double,
        val number: Long,
        val action: (Double) -> Unit,
    )

    private class Kind(
        val perSecond: Double,
        val priority: Int,
        val workMillis: Double,
        val objectiveMillis: Long,
        val onPrimary: Double,
    )

    private companion object {
        private const val END_MILLIS = 20_000
        private const val RETURN_MILLIS = 3_000
        private const val TICK_MILLIS = 50
        private const val CONNECT_MILLIS = 12.0
        private const val CONNECTIONS = 72
        private const val ORGANISATIONS = 87
        private const val ATTEMPTS = 4
        private const val MOST_DEMAND = 2.0
        private val floor = Position(Term(1), LogPosition(1))
        private val zoneOf = List(30) { "a" } + List(27) { "b" } + List(32) { "c" }
        private val groups = (0 until 6).map { GroupId("g$it") }
        private val kinds = listOf(
            Kind(101.0, priority = 0, workMillis = 11.0, objectiveMillis = 200, onPrimary = 1.0),
            Kind(177.0, priority = 2, workMillis = 55.0, objectiveMillis = 1_500, onPrimary = 0.0),
            Kind(475.0, priority = 1, workMillis = 33.0, objectiveMillis = 400, onPrimary = 0.12),
        )
        private val records = groups.flatMapIndexed { index, group ->
            listOf("a", "b", "c").mapIndexed { place, zone ->
                val role = if (index % 3 == place) TargetRole.PRIMARY else TargetRole.REPLICA
                InstanceRecord(TargetId("$group$zone"), group, "10.0.0.1:1", ZoneId(zone), role, isLeaving = false, 1, 1)
            }
        }
    }
}
