package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.pool.ConnectionState
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall

/** Assigns idle connections to the next queued calls, and opens more connections while there is demand. */
internal fun OwnerState.scheduled(context: OwnerContext): OwnerStep {
    val slot = pool.idleSlot() ?: return opening(context)
    val next = queue.take() ?: return unchanged()
    return copy(queue = next.queue).startedOn(slot, next.call.ticket, context).then { it.scheduled(context) }
}

/** Runs [ticket] on the idle connection of [slot], unless its deadline has passed or the lease that it needs has ended. */
private fun OwnerState.startedOn(slot: Int, ticket: Long, context: OwnerContext): OwnerStep {
    val pending = calls[ticket] ?: return unchanged()
    val call = pending.call
    if (context.nowMillis >= call.deadlineMillis) return refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed while queued")
    if (needsLease(call.operation) && context.newWriteTerm == null) {
        return refused(ticket, ErrorKind.NO_PRIMARY, "the lease of group ${entry.group} ended while the call was queued")
    }
    return copy(pool = pool.inState(slot, ConnectionState.Busy(ticket))).sentOn(slot, ticket, context)
}

/** Pings connections that have been idle for a heartbeat, so that a dead one is found before a call uses it. */
internal fun OwnerState.heartbeats(context: OwnerContext): OwnerStep =
    pool.slotsToPing(context.nowMillis, context.limits.pool).fold(unchanged()) { step, slot -> step.then { it.pinging(slot, context) } }

/** Makes a connection that answered its ping available again, and closes one that did not answer. */
internal fun OwnerState.pinged(message: OwnerMessage.Pinged, context: OwnerContext): OwnerStep =
    if (message.isAnswered) copy(pool = pool.pingAnswered(message.slot, context.nowMillis)).scheduled(context) else closing(message.slot)

private fun OwnerState.pinging(slot: Int, context: OwnerContext): OwnerStep {
    val connection = pool.connections[slot] ?: return unchanged()
    val name = connection.name ?: return unchanged()
    val idle = connection.state as? ConnectionState.Idle ?: return unchanged()
    return copy(pool = pool.inState(slot, ConnectionState.Pinging(idle.sinceMillis)))
        .with(OwnerEffect.Ping(slot, name, context.limits.pool.heartbeatMillis))
}

/** Refuses the calls whose deadline passed while they waited for a connection. */
internal fun OwnerState.expiredCallsRefused(context: OwnerContext): OwnerStep {
    val due = calls.filterValues { it.sentMillis == null && context.nowMillis >= it.call.deadlineMillis }.keys
    return due.fold(unchanged()) { step, ticket -> step.then { it.expiredInQueue(ticket) } }
}

private fun OwnerState.expiredInQueue(ticket: Long): OwnerStep {
    val rest = queue.remove(ticket)
    if (rest.size == queue.size) return unchanged()
    return copy(queue = rest).refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed while queued")
}

/** Sends [ticket] on the connection of [slot]. */
internal fun OwnerState.sentOn(slot: Int, ticket: Long, context: OwnerContext): OwnerStep {
    val pending = calls[ticket] ?: return unchanged()
    val name = pool.connections[slot]?.name ?: return unchanged()
    val timeoutMillis = (pending.call.deadlineMillis - context.nowMillis).coerceIn(1, context.limits.silenceMillis)
    val sent = copy(calls = calls.put(ticket, pending.copy(sentMillis = context.nowMillis)))
    return sent.with(OwnerEffect.Execute(slot, name, ticket, pending.call.withTransactionId(pending), timeoutMillis))
}

// Opening a connection takes a while, so a spare one is opened as soon as the last idle connection is taken.
private fun OwnerState.opening(context: OwnerContext): OwnerStep {
    val isDemand = queue.size > 0 || pool.connections.values.any { it.state is ConnectionState.Busy }
    if (!isDemand || pool.isConnecting() || !pool.mayOpen(context.nowMillis)) return unchanged()
    return copy(pool = pool.connecting()).with(OwnerEffect.Open(pool.nextSlot))
}

private fun TargetCall.withTransactionId(pending: PendingCall): TargetCall =
    if (operation is Operation.Begin) copy(newTransaction = pending.newTransaction) else this
