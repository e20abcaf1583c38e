package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.Position
import org.buckthornhub.queue.QueuedCall
import org.buckthornhub.repeat.DeduplicationEntry
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall
import kotlin.math.ceil

/** Handles a new call: answers it from the ledger, runs it in its transaction, queues it, or refuses it before anything is sent. */
internal fun OwnerState.submitted(message: OwnerMessage.Submit, context: OwnerContext): OwnerStep {
    val (ticket, call) = message
    val taken = copy(calls = calls.put(ticket, PendingCall(call, message.newTransaction)))
    taken.answeredFromLedger(ticket, call, context)?.let { return it }
    val known = if (mustRunOnce(call.operation)) taken.copy(ledger = ledger.put(keyOf(call), DeduplicationEntry(call.operation))) else taken
    return when (val operation = call.operation) {
        is Operation.Run, is Operation.Begin -> known.submittedOutsideTransaction(ticket, call, context)
        is Operation.RunInTransaction -> known.submittedInTransaction(ticket, operation.transaction, context)
        is Operation.Commit -> known.submittedInTransaction(ticket, operation.transaction, context)
        is Operation.RollBack -> known.submittedInTransaction(ticket, operation.transaction, context)
    }
}

private fun OwnerState.submittedOutsideTransaction(ticket: Long, call: TargetCall, context: OwnerContext): OwnerStep {
    if (entry.leaving) return refused(ticket, ErrorKind.NO_TARGET, "target ${entry.target} is leaving")
    if (needsLease(call.operation)) {
        if (context.newWriteTerm == null) return refused(ticket, ErrorKind.NO_PRIMARY, "no lease for writes in group ${entry.group}")
        return queued(ticket, context)
    }
    val fetched = fetchingSamples(call, context)
    if (fetched.state.satisfies(call, context)) return fetched.then { it.queued(ticket, context) }
    val untilMillis = minOf(context.nowMillis + call.waitMillis, call.deadlineMillis)
    return fetched.then { it.copy(waitingReads = it.waitingReads.put(ticket, untilMillis)).pollingTarget() }
}

/** Queues [ticket], or refuses it at once if its estimated wait reaches its deadline. */
internal fun OwnerState.queued(ticket: Long, context: OwnerContext): OwnerStep {
    val call = calls[ticket]?.call ?: return unchanged()
    val waitMillis = estimatedWaitMillis(call)
    if (context.nowMillis + waitMillis >= call.deadlineMillis) {
        return refused(
            ticket,
            ErrorKind.DEADLINE_EXPIRED,
            "the estimated wait of $waitMillis ms in the queue reaches the deadline",
            retryAfterMillis = waitMillis,
        )
    }
    val addition = queue.add(QueuedCall(ticket, call.organisation, serviceMillis))
    val added = copy(queue = addition.queue, waitingReads = waitingReads.remove(ticket))
    val refused = addition.refused ?: return added.scheduled(context)
    return added
        .refused(refused, ErrorKind.QUEUE_FULL, "the queue of target ${entry.target} is full", retryAfterMillis = waitMillis)
        .then { it.scheduled(context) }
}

/** Polls the progress of the target while reads wait for it to catch up. */
internal fun OwnerState.pollingTarget(delayMillis: Long = 0): OwnerStep =
    if (isPollingTarget || waitingReads.isEmpty()) unchanged() else copy(isPollingTarget = true).with(OwnerEffect.PollTarget(delayMillis))

/** Advances [position] to [seen] if that has a newer term, or a higher index in the same term. */
internal fun OwnerState.advancedTo(seen: Position): OwnerState {
    val isNewer = seen.term > position.term || seen.term == position.term && seen.index > position.index
    return if (isNewer) copy(position = seen) else this
}

private fun OwnerState.estimatedWaitMillis(call: TargetCall): Long {
    if (pool.idleSlot() != null) return 0
    return ceil(queue.callsAheadOf(call.organisation) * serviceMillis / pool.slots.coerceAtLeast(1)).toLong()
}
