package org.buckthornhub.instancepool

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.instancepool.waiting.ArrivalDecider
import org.buckthornhub.instancepool.waiting.RefusalReason
import org.buckthornhub.instancepool.waiting.ReturnCause
import org.buckthornhub.instancepool.waiting.ReturnDecider
import org.buckthornhub.instancepool.waiting.WaitEstimator
import org.buckthornhub.instancepool.waiting.WaitingSettings
import org.buckthornhub.target.TargetRole

/** Shares the connections of one daemon among its sessions, within the daemon's connection limit for each instance. */
public class PoolDecider(
    private val settings: PoolSettings,
    private val waiting: WaitingSettings = WaitingSettings(),
) : Decider<PoolState, PoolMessage, PoolEffect> {
    private val eligibility = InstanceEligibility(settings)
    private val cost: InstanceCost = if (settings.adaptsToLoad) MeasuredCost(settings, eligibility) else FixedCost(settings, eligibility)
    private val assignment = ConnectionAssignment(cost, waiting)
    private val refusals = RefusalDecider(eligibility, waiting)
    private val arrivals = ArrivalDecider(waiting, WaitEstimator(cost, eligibility, waiting.order))

    override fun decide(state: PoolState, message: PoolMessage, nowMillis: Long): Decision<PoolState, PoolEffect> = when (message) {
        is PoolMessage.Acquire -> acquire(state, message.waiting, nowMillis)
        is PoolMessage.Released -> released(measured(state, message, nowMillis), message, nowMillis).then {
            assignment.serve(it, nowMillis)
        }
        is PoolMessage.Opened ->
            opened(cost.sampled(state, message.target, samplesOf(message), nowMillis), message, nowMillis).then {
                assignment.serve(it, nowMillis)
            }
        is PoolMessage.OpenFailed ->
            assignment.serve(openFailed(cost.sampled(state, message.target, OPEN_FAILED, nowMillis), message, nowMillis), nowMillis)
        is PoolMessage.Closed -> assignment.serve(closed(state, message), nowMillis)
        is PoolMessage.Demoted -> Decision(state.update(message.target) { copy(isDemoted = true) })
        is PoolMessage.Directory -> directory(state, message.records, nowMillis).then { assignment.serve(it, nowMillis) }
        is PoolMessage.Limits ->
            assignment.serve(state.copy(limits = message.limits.toPersistentMap(), shortLived = message.shortLived), nowMillis)
        is PoolMessage.ReturnAsked -> returnAsked(state, message, nowMillis)
        is PoolMessage.Tick -> expire(cost.advanced(state, nowMillis), nowMillis).then {
            assignment.serve(it, nowMillis)
        }.then { closeLingering(it, nowMillis) }
    }

    // Answers the load of callers whose primary is lost: they are told at once, instead of after a wait that can't help.
    private fun acquire(state: PoolState, arriving: PendingConnectionRequest, nowMillis: Long): Decision<PoolState, PoolEffect> {
        if (refusals.isHopeless(state, arriving, nowMillis)) {
            return refusals.refuse(state, arriving, RefusalReason.NO_INSTANCE, nowMillis)
        }
        val arrival = arrivals.decide(state, arriving, nowMillis)
        val refused = arrival.refused ?: return assignment.serve(arrival.state, nowMillis)
        return refusals.refuse(arrival.state, refused, arrival.reason, nowMillis, arrival.freeInMillis)
            .then { assignment.serve(it, nowMillis) }
    }

    private fun returnAsked(state: PoolState, message: PoolMessage.ReturnAsked, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val isOutage = message.cause is ReturnCause.NoPrimary && message.kind != null
        val outages = if (isOutage) state.waits.outages.began(checkNotNull(message.kind), nowMillis) else state.waits.outages
        val known = state.copy(waits = state.waits.copy(outages = outages))
        val freeInMillis = ReturnDecider.freeInMillis(known, message.kind, message.cause, nowMillis)
        val (next, afterMillis) = ReturnDecider.returnOf(known, message.kind, freeInMillis, message.maxReturnMillis, nowMillis)
        return Decision(next, persistentListOf(PoolEffect.Return(message.ticket, afterMillis)))
    }

    private fun measured(state: PoolState, message: PoolMessage.Released, nowMillis: Long): PoolState =
        withHold(cost.sampled(state, message.target, message.samples, nowMillis), message, nowMillis)

    // The time of a statement that got no answer is a timeout, which says nothing about the others.
    private fun withHold(state: PoolState, message: PoolMessage.Released, nowMillis: Long): PoolState {
        val use = state.waits.holds.held[message.connection] ?: return state
        val extraMillis = nowMillis - use.sinceMillis - use.chargedMillis
        val progress = state.waits.progress.corrected(use.kind.group, use.organisation, extraMillis)
        val holds = state.waits.holds.released(message.connection, isMeasured = !message.isSilent, nowMillis)
        return state.copy(waits = state.waits.copy(progress = progress, holds = holds))
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
        return Decision(withoutOutages(state.copy(instances = instances), nowMillis), closes.toPersistentList())
    }

    private fun withoutOutages(state: PoolState, nowMillis: Long): PoolState {
        val over = state.waits.outages.sinceMillis.keys.filter { kind ->
            state.instances.values.any { instance ->
                instance.record.group == kind.group &&
                    nowMillis >= instance.retryAtMillis &&
                    eligibility.servesAsPrimary(instance, nowMillis)
            }
        }
        return state.copy(
            waits = state.waits.copy(
                outages = over.fold(state.waits.outages) { known, kind ->
                    known.ended(kind, nowMillis)
                },
            ),
        )
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
        val late = due.fold(Decision<PoolState, PoolEffect>(state.without(due))) { decision, waiting ->
            decision.then { refusals.refuse(it, waiting, RefusalReason.EXPIRED, nowMillis) }
        }
        return if (waiting.rejectsOnArrival) late.then { refuseHopeless(it, nowMillis) } else late
    }

    // Addresses the loss of an instance while statements wait for it: waiting longer would only delay the refusal.
    private fun refuseHopeless(state: PoolState, nowMillis: Long): Decision<PoolState, PoolEffect> {
        val hopeless = state.waiting.filter { refusals.isHopeless(state, it, nowMillis) }
        return hopeless.fold(Decision(state.without(hopeless))) { decision, waiting ->
            decision.then { refusals.refuse(it, waiting, RefusalReason.NO_INSTANCE, nowMillis) }
        }
    }

    private fun PoolState.without(refused: List<PendingConnectionRequest>): PoolState =
        if (refused.isEmpty()) this else copy(waiting = waiting.removeAll(refused))

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

    private fun close(state: PoolState, connection: ConnectionId): Decision<PoolState, PoolEffect> =
        Decision(state, persistentListOf(PoolEffect.Close(connection)))

    private fun PoolInstance.answered(position: Position?, nowMillis: Long): PoolInstance {
        val known = applied
        val isNewer = position != null && (known == null || CommitTimeline.compare(position, known) >= 0)
        return if (isNewer) copy(applied = position, lastAnswerMillis = nowMillis) else copy(lastAnswerMillis = nowMillis)
    }

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
