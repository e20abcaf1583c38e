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
    if (needsLease(call.operation) && context.newWriteTerm == null) {
        return refused(ticket, ErrorKind.NO_PRIMARY, "the lease of group ${entry.group} ended in the queue")
    }
    return copy(pool = pool.inState(slot, ConnectionState.Busy(ticket))).sentOn(slot, ticket, context)
}

/** Asks idle connections whether they still answer: one that went silent must not be met first by a call. */
internal fun OwnerState.heartbeats(context: OwnerContext): OwnerStep =
    pool.silentSlots(context.nowMillis, context.limits.pool).fold(unchanged()) { step, slot -> step.then { it.pinging(slot, context) } }

/** A connection that answered goes back to work; a silent one is closed. */
internal fun OwnerState.pinged(message: OwnerMessage.Pinged, context: OwnerContext): OwnerStep =
    if (message.isAnswered) copy(pool = pool.heardOf(message.slot, context.nowMillis)).scheduled(context) else closing(message.slot)

private fun OwnerState.pinging(slot: Int, context: OwnerContext): OwnerStep {
    val connection = pool.connections[slot] ?: return unchanged()
    val name = connection.name ?: return unchanged()
    val idle = connection.state as? ConnectionState.Idle ?: return unchanged()
    return copy(pool = pool.inState(slot, ConnectionState.Pinged(idle.sinceMillis)))
        .with(OwnerEffect.Ping(slot, name, context.limits.pool.heartbeatMillis))
}

/** Refuses the calls whose deadline has passed while they waited for a connection. */
internal fun OwnerState.expiredCallsRefused(context: OwnerContext): OwnerStep {
    val due = calls.filterValues { it.sentMillis == null && context.nowMillis >= it.call.deadlineMillis }.keys
    return due.fold(unchanged()) { step, ticket -> step.then { it.expiredInQueue(ticket) } }
}

private fun OwnerState.expiredInQueue(ticket: Long): OwnerStep {
    val rest = queue.remove(ticket)
    if (rest.size == queue.size) return unchanged()
    return copy(queue = rest).refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed in the queue")
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
