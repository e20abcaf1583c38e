package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.History
import org.buckthornhub.group.Position

/** Decides for the owner of one target: connection slots, call queue, transactions, writes under the lease and resent requests. */
public class OwnerDecider(private val limits: OwnerLimits) : Decider<OwnerState, OwnerInput, OwnerEffect> {
    override fun decide(state: OwnerState, message: OwnerInput, nowMillis: Long): Decision<OwnerState, OwnerEffect> {
        val context = OwnerContext(nowMillis, message.leaseTerm, message.newWriteTerm, History(message.leadership), limits)
        return state.handled(message.message, context)
    }

    private fun OwnerState.handled(message: OwnerMessage, context: OwnerContext): OwnerStep = when (message) {
        is OwnerMessage.Submit -> submitted(message, context)
        is OwnerMessage.Opened -> copy(pool = pool.opened(message.slot, message.name, context.nowMillis)).scheduled(context)
        is OwnerMessage.OpenFailed -> openFailed(message, context)
        is OwnerMessage.Executed -> executed(message, context)
        is OwnerMessage.Pinged -> pinged(message, context)
        is OwnerMessage.Closed -> copy(pool = pool.without(message.slot)).scheduled(context)
        is OwnerMessage.Announced -> announced(message, context)
        is OwnerMessage.TargetProgress -> targetProgressReceived(message.progress, context)
        is OwnerMessage.GroupProgress -> groupProgressReceived(message.progress, context)
        OwnerMessage.SamplesRequested -> samplesRequested(context)
        is OwnerMessage.Sampled -> sampled(message, context).unchanged()
        is OwnerMessage.SamplesFetched -> samplesReceived(message.samples).waitingReadsChecked(context)
        is OwnerMessage.EndTransactionsOf -> transactionsRolledBackOf(message.organisation, context)
        OwnerMessage.Tick -> ticked(context)
    }

    private fun OwnerState.openFailed(message: OwnerMessage.OpenFailed, context: OwnerContext): OwnerStep {
        if (message.isRefused) return copy(pool = pool.refused(message.slot, context.nowMillis, limits.pool)).unchanged()
        val rest = copy(pool = pool.refused(message.slot, context.nowMillis, limits.pool))
        // With no open connection the queued calls are refused at once, so that they can be retried on another target.
        return if (rest.pool.connections.isEmpty()) rest.queuedCallsRefused(message.detail) else rest.unchanged()
    }

    private tailrec fun OwnerState.queuedCallsRefused(detail: String, before: OwnerStep = unchanged()): OwnerStep {
        val next = queue.take() ?: return before
        val step = before.then { it.copy(queue = next.queue).refused(next.call.ticket, ErrorKind.NO_TARGET, detail) }
        return step.state.queuedCallsRefused(detail, step)
    }

    private fun OwnerState.announced(message: OwnerMessage.Announced, context: OwnerContext): OwnerStep {
        val entry = message.entry
        val known = copy(entry = entry, pool = pool.copy(slots = entry.slots)).advancedTo(Position(entry.term, entry.applied))
        return if (entry.leaving) known.queuedCallsRefused("target ${entry.target} is leaving") else known.waitingReadsChecked(context)
    }

    private fun OwnerState.targetProgressReceived(progress: InstanceProgress?, context: OwnerContext): OwnerStep {
        val moved = if (progress == null) this else advancedTo(Position(progress.term, progress.applied))
        return moved.copy(isPollingTarget = false).waitingReadsChecked(context).then { it.pollingTarget(POLL_MILLIS) }
    }

    private fun OwnerState.groupProgressReceived(found: PersistentList<InstanceProgress>, context: OwnerContext): OwnerStep =
        copy(progress = progress.putAll(found.associateBy { it.target }), isPollingGroup = false)
            .writesConfirmed(context)
            .then { it.pollingGroup(POLL_MILLIS) }

    private fun OwnerState.waitingReadsChecked(context: OwnerContext): OwnerStep =
        waitingReads.entries.fold(unchanged()) { step, (ticket, until) -> step.then { it.waitingReadChecked(ticket, until, context) } }

    private fun OwnerState.waitingReadChecked(ticket: Long, untilMillis: Long, context: OwnerContext): OwnerStep {
        val call = calls[ticket]?.call ?: return copy(waitingReads = waitingReads.remove(ticket)).unchanged()
        if (satisfies(call, context)) return queued(ticket, context)
        if (context.nowMillis < untilMillis) return unchanged()
        val detail = "target ${entry.target} has only applied position ${position.index.value} of term ${position.term.value}"
        return answered(ticket, Err(ProxyError(ErrorKind.REPLICA_BEHIND, detail, position = position)))
    }

    private fun OwnerState.ticked(context: OwnerContext): OwnerStep {
        val aged = copy(
            ledger = ledger.rotated(context.nowMillis),
            endedTransactions = endedTransactions.filterValues { context.nowMillis - it < ENDED_RETENTION_MILLIS }.toPersistentMap(),
        )
        return aged
            .expiredTransactionsRolledBack(context)
            .then { it.expiredCallsRefused(context) }
            .then { state ->
                state.pool.expiredSlots(context.nowMillis, limits.pool).fold(state.unchanged()) { step, slot ->
                    step.then { it.closing(slot) }
                }
            }
            .then { it.heartbeats(context) }
            .then { it.waitingReadsChecked(context) }
            .then { it.writesConfirmed(context) }
            .then { it.pollingTarget(POLL_MILLIS) }
            .then { it.pollingGroup(POLL_MILLIS) }
            .then { it.sampling(context) }
            .then { it.scheduled(context) }
    }

    private companion object {
        const val ENDED_RETENTION_MILLIS = 600_000L
        const val POLL_MILLIS = 2L
    }
}
