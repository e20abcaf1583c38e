package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetRole

/** Shares the connections of one daemon among its sessions, within the daemon's connection limit for each instance. */
public class PoolDecider(private val settings: PoolSettings) : Decider<PoolState, PoolMessage, PoolEffect> {
    private val eligibility = InstanceEligibility(settings)
    private val cost: InstanceCost = if (settings.adaptsToLoad) MeasuredCost(settings, eligibility) else FixedCost(settings, eligibility)

    override fun decide(state: PoolState, message: PoolMessage, nowMillis: Long): Decision<PoolState, PoolEffect> = when (message) {
        is PoolMessage.Acquire -> acquire(state, message.waiting, nowMillis)
        is PoolMessage.Released ->
            released(cost.sampled(state, message.target, message.samples, nowMillis), message, nowMillis).then { serve(it, nowMillis) }
        is PoolMessage.Opened ->
            opened(cost.sampled(state, message.target, samplesOf(message), nowMillis), message, nowMillis).then { serve(it, nowMillis) }
        is PoolMessage.OpenFailed ->
            serve(openFailed(cost.sampled(state, message.target, OPEN_FAILED, nowMillis), message, nowMillis), nowMillis)
        is PoolMessage.Closed -> serve(closed(state, message), nowMillis)
        is PoolMessage.Demoted -> Decision(state.update(message.target) { copy(isDemoted = true) })
        is PoolMessage.Directory -> directory(state, message.records, nowMillis).then { serve(it, nowMillis) }
        is PoolMessage.Limits ->
            serve(state.copy(limits = message.limits.toPersistentMap(), shortLived = message.shortLived), nowMillis)
        is PoolMessage.Tick -> expire(cost.advanced(state, nowMillis), nowMillis).then {
            serve(it, nowMillis)
        }.then { closeLingering(it, nowMillis) }
    }

    // Answers the load of callers whose primary is lost: they are told at once, instead of after a wait that can't help.
    private fun acquire(state: PoolState, waiting: PendingConnectionRequest, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val instances = state.instances.values.filter { it.record.group == waiting.request.group }
        val isHopeless = instances.isNotEmpty() && instances.none { eligibility.mayServeUntil(it, waiting, nowMillis) }
        if (isHopeless) return Decision(state, persistentListOf(refusal(state, waiting, nowMillis)))
        return serve(state.copy(waiting = state.waiting.add(waiting)), nowMillis)
    }

    private fun refusal(state: PoolState, waiting: PendingConnectionRequest, nowMillis: Long): PoolEffect {
        val isPrimaryKnown =
            state.instances.values.any { it.record.group == waiting.request.group && eligibility.servesAsPrimary(it, nowMillis) }
        return PoolEffect.Refuse(waiting.ticket, hasNoPrimary = !isPrimaryKnown)
    }

    private fun released(state: PoolState, message: PoolMessage.Released, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val instance = state.instances[message.target] ?: return close(state, message.connection)
        val free = state.update(message.target) { copy(inUse = inUse.remove(message.connection)) }
        if (message.isSilent) return silent(free, message, nowMillis)
        val updated = free.update(message.target) { answered(message.applied, nowMillis) }
        val kept =
            message.state?.takeIf { instance.size <= state.limitOf(instance.record.group) } ?: return close(updated, message.connection)
        val connection = PoolConnection(message.connection, message.target, kept, nowMillis)
        return Decision(updated.update(message.target) { copy(idle = idle.add(connection)) })
    }

    // If an instance does not answer on one connection, the others are most likely dead too, unless one had an answer recently.
    private fun silent(state: PoolState, message: PoolMessage.Released, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val lastAnswerMillis = state.instances[message.target]?.lastAnswerMillis ?: 0
        if (nowMillis - lastAnswerMillis < RESPONSIVE_MILLIS) return close(state, message.connection)
        val idle = state.instances[message.target]?.idle.orEmpty().map { it.id }
        val next = state.update(message.target) { copy(idle = persistentListOf(), retryAtMillis = nowMillis + settings.firstRetryMillis) }
        return Decision(next, (idle + message.connection).map { PoolEffect.Close(it) }.toPersistentList())
    }

    private fun opened(state: PoolState, message: PoolMessage.Opened, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val organisation = state.instances[message.target]?.opening?.get(message.connection) ?: return close(state, message.connection)
        val connection = PoolConnection(message.connection, message.target, TargetConnectionState(organisation), nowMillis)
        return Decision(
            state.update(message.target) {
                answered(message.applied, nowMillis)
                    .copy(opening = opening.remove(message.connection), idle = idle.add(connection), failures = 0, retryAtMillis = 0)
            },
        )
    }

    private fun samplesOf(message: PoolMessage.Opened): List<StatementSample> =
        listOfNotNull(message.tookMillis?.let { StatementSample(StatementSample.CONNECTION, it, StatementOutcome.CONNECTED) })

    private fun openFailed(state: PoolState, message: PoolMessage.OpenFailed, nowMillis: Long): PoolState = state.update(message.target) {
        val pause = (settings.firstRetryMillis shl failures.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(settings.longestRetryMillis)
        copy(opening = opening.remove(message.connection), failures = failures + 1, retryAtMillis = nowMillis + pause)
    }

    private fun closed(state: PoolState, message: PoolMessage.Closed): PoolState =
        state.update(message.target) { copy(idle = idle.removeAll { it.id == message.connection }) }

    private fun directory(state: PoolState, records: Collection<InstanceRecord>, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val known = records.associateBy { it.target }
        // An instance that restarted under the same id is a new instance: nothing known of the old one applies to it.
        val replaced = state.instances.values.filter { known[it.record.target]?.startedWallMillis != it.record.startedWallMillis }
        val closes = replaced.flatMap { instance -> instance.idle.map { PoolEffect.Close(it.id) } }
        val kept = replaced.fold(state.instances) { map, instance -> map.remove(instance.record.target) }
        val instances = known.values.fold(kept) { map, record -> map.put(record.target, withRecord(map[record.target], record, nowMillis)) }
        return Decision(state.copy(instances = instances), closes.toPersistentList())
    }

    private fun withRecord(known: PoolInstance?, record: InstanceRecord, nowMillis: Long): PoolInstance {
        val instance = known ?: PoolInstance(record)
        val isSettled = instance.isDemoted && record.sequence == instance.record.sequence
        return instance.copy(
            record = record,
            leavingSinceMillis = if (record.isLeaving) instance.leavingSinceMillis ?: nowMillis else null,
            isDemoted = isSettled || instance.isDemoted && record.role == TargetRole.REPLICA,
        )
    }

    private fun expire(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val due = state.waiting.filter { it.deadlineMillis <= nowMillis }
        if (due.isEmpty()) return Decision(state)
        val refusals = due.map { refusal(state, it, nowMillis) }
        return Decision(state.copy(waiting = state.waiting.removeAll(due)), refusals.toPersistentList())
    }

    private fun closeLingering(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val start = Decision<PoolState, PoolEffect>(state)
        val lingering = state.instances.values.filter { it.record.group in state.shortLived && it.idle.isNotEmpty() }
        return lingering.fold(start) { decision, instance ->
            val (due, kept) = instance.idle.partition { nowMillis - it.idleSinceMillis >= settings.lingerMillis }
            if (due.isEmpty()) return@fold decision
            decision.then { known ->
                val next = known.update(instance.record.target) { copy(idle = kept.toPersistentList()) }
                Decision(next, due.map { PoolEffect.Close(it.id) }.toPersistentList())
            }
        }
    }

    private fun serve(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> =
        if (state.waiting.isEmpty()) Decision(state) else checkOutIdle(state, nowMillis).then { openForWaiting(it, nowMillis) }

    // A request that can use an idle connection gets it before the connection may be closed to make room for a new one.
    private fun checkOutIdle(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> =
        byPriority(state).fold(Decision(state)) { decision, waiting ->
            val instance = cheapest(decision.state, waiting, nowMillis)
            val open = instance?.idleConnectionFor(waiting.request)
            if (instance == null || open == null) decision else decision.then { checkOut(it, instance, open, waiting) }
        }

    private fun openForWaiting(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val start = Decision<PoolState, PoolEffect>(state)
        // Each connection that is being opened serves one waiting request, which must not open a second one.
        val beingOpened: List<Pair<GroupId, OrganisationId>> =
            state.instances.values.flatMap { instance -> instance.opening.values.map { instance.record.group to it } }
        return byPriority(state).fold(start to beingOpened) { (decision, open), waiting ->
            val key = waiting.request.group to waiting.organisation
            if (key in open) return@fold decision to open - key
            val instance = cheapest(decision.state, waiting, nowMillis)?.takeIf { mayOpen(decision.state, it, waiting, nowMillis) }
            (if (instance == null) decision else decision.then { open(it, instance, waiting.organisation) }) to open
        }.first
    }

    private fun byPriority(state: PoolState): List<PendingConnectionRequest> = state.waiting.sortedBy { it.request.priority }

    private fun cheapest(state: PoolState, waiting: PendingConnectionRequest, nowMillis: Long): PoolInstance? = state.instances.values
        .mapNotNull { instance -> cost.of(state, instance, waiting, nowMillis)?.let { instance to it } }
        .minByOrNull { it.second }?.first

    // A connection of the same organisation that is in use is released about as soon as a new one would be open.
    private fun mayOpen(state: PoolState, instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Boolean =
        instance.size < state.limitOf(instance.record.group) ||
            waiting.organisation !in instance.inUse.values ||
            nowMillis - waiting.sinceMillis >= EVICTION_DELAY_MILLIS

    private fun checkOut(
        state: PoolState,
        instance: PoolInstance,
        connection: PoolConnection,
        waiting: PendingConnectionRequest,
    ): Decision<PoolState, PoolEffect> {
        val next = state
            .copy(waiting = state.waiting.remove(waiting))
            .update(instance.record.target) {
                copy(idle = idle.remove(connection), inUse = inUse.put(connection.id, connection.state.organisation))
            }
        return Decision(next, persistentListOf(PoolEffect.CheckOut(waiting.ticket, connection, instance.record)))
    }

    private fun open(state: PoolState, instance: PoolInstance, organisation: OrganisationId): Decision<PoolState, PoolEffect> {
        val target = instance.record.target
        val evicted = if (instance.size >= state.limitOf(instance.record.group)) instance.idle.firstOrNull() else null
        val room = if (evicted == null) Decision(state) else close(state.update(target) { copy(idle = idle.remove(evicted)) }, evicted.id)
        return room.then {
            val id = ConnectionId(it.nextConnection)
            val next = it.copy(nextConnection = it.nextConnection + 1).update(target) { copy(opening = opening.put(id, organisation)) }
            Decision(next, persistentListOf(PoolEffect.Open(id, instance.record, organisation)))
        }
    }

    private fun close(state: PoolState, connection: ConnectionId): Decision<PoolState, PoolEffect> =
        Decision(state, persistentListOf(PoolEffect.Close(connection)))

    private fun PoolInstance.answered(position: Position?, nowMillis: Long): PoolInstance {
        val known = applied
        val isNewer = position != null && (known == null || CommitTimeline.compare(position, known) >= 0)
        return if (isNewer) copy(applied = position, lastAnswerMillis = nowMillis) else copy(lastAnswerMillis = nowMillis)
    }

    private val PendingConnectionRequest.organisation: OrganisationId get() = request.organisation ?: OrganisationId.NONE

    public companion object {
        /**
         * How long a request waits for a connection of its organisation that is in use, before another connection is closed to
         * make room; in ms. Less than opening one takes: 12 ms at the instance, which serves nothing else meanwhile, and two
         * round trips.
         */
        public const val EVICTION_DELAY_MILLIS: Long = 10

        private val OPEN_FAILED = listOf(StatementSample(StatementSample.CONNECTION, millis = 0, StatementOutcome.FAILED))

        /** The pause after failed connects starts at 100 ms; four doublings give the longest one. */
        private const val MAX_DOUBLINGS = 4

        /** An instance that answered within this time, in ms, counts as responsive; a few statements take this long. */
        private const val RESPONSIVE_MILLIS = 300L
    }
}
