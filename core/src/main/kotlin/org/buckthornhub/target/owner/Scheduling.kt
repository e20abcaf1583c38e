package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.pool.ConnectionState
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall

/** Gives idle connections to the calls that are next, and opens more while there is demand. */
internal fun OwnerState.scheduled(context: OwnerContext): OwnerStep {
    val slot = pool.idleSlot() ?: return opening(context)
    val next = queue.take() ?: return unchanged()
    return copy(queue = next.queue).startedOn(slot, next.call.ticket, context).then { it.scheduled(context) }
}

/** Runs [ticket] on the idle connection of [slot], unless it is too late for it. */
private fun OwnerState.startedOn(slot: Int, ticket: Long, context: OwnerContext): OwnerStep {
    val pending = calls[ticket] ?: return unchanged()
    val call = pending.call
    if (context.nowMillis >= call.deadlineMillis) return refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed in the queue")
    if (needsLease(call.operation) && context.leaseTerm == null) {
        return refused(ticket, ErrorKind.NO_PRIMARY, "the lease of group ${entry.group} ended in the queue")
    }
    return copy(pool = pool.inState(slot, ConnectionState.Busy(ticket))).sentOn(slot, ticket, context)
}

/** Sends [ticket] on the connection of [slot]. */
internal fun OwnerState.sentOn(slot: Int, ticket: Long, context: OwnerContext): OwnerStep {
    val pending = calls[ticket] ?: return unchanged()
    val name = pool.connections[slot]?.name ?: return unchanged()
    val timeoutMillis = (pending.call.deadlineMillis - context.nowMillis).coerceIn(1, context.limits.silenceMillis)
    val sent = copy(calls = calls.put(ticket, pending.copy(sentMillis = context.nowMillis)))
    return sent.with(OwnerEffect.Execute(slot, name, ticket, pending.call.named(pending), timeoutMillis))
}

// A connection takes a while to open, so the last idle one that goes calls for a spare one.
private fun OwnerState.opening(context: OwnerContext): OwnerStep {
    val isDemand = queue.size > 0 || pool.connections.values.any { it.state is ConnectionState.Busy }
    if (!isDemand || pool.isConnecting() || !pool.mayOpen(context.nowMillis)) return unchanged()
    return copy(pool = pool.connecting()).with(OwnerEffect.Open(pool.nextSlot))
}

private fun TargetCall.named(pending: PendingCall): TargetCall =
    if (operation is Operation.Begin) copy(newTransaction = pending.newTransaction) else this
