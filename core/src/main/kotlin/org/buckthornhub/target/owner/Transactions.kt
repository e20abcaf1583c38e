package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.pool.ConnectionState
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.TransactionId

/** Runs a call on the connection of its transaction, after the earlier calls of that transaction. */
internal fun OwnerState.submittedInTransaction(ticket: Long, id: TransactionId, context: OwnerContext): OwnerStep {
    val call = calls.getValue(ticket).call
    val transaction = transactions[id] ?: return unknownTransaction(ticket, id)
    if (transaction.organisation != call.organisation) return refused(ticket, ErrorKind.TRANSACTION_UNKNOWN, "no transaction $id is open")
    if (transaction.running != null) {
        return copy(transactions = transactions.put(id, transaction.copy(waiting = transaction.waiting.add(ticket)))).unchanged()
    }
    return runInTransaction(ticket, id, transaction, context)
}

/** Makes the connection of transaction [id] available to the next call of the transaction. */
internal fun OwnerState.continued(id: TransactionId, context: OwnerContext): OwnerStep {
    val transaction = transactions[id] ?: return unchanged()
    val free = transaction.copy(running = null, lastUsedMillis = context.nowMillis)
    val next = free.waiting.firstOrNull() ?: return copy(transactions = transactions.put(id, free)).unchanged()
    return runInTransaction(next, id, free.copy(waiting = free.waiting.removeAt(0)), context)
}

/** Rolls [id] back by closing its connection; its running and waiting calls are refused and have no effect. */
internal fun OwnerState.rolledBack(id: TransactionId, reason: String, context: OwnerContext): OwnerStep {
    val transaction = transactions[id] ?: return unchanged()
    val tickets = transaction.waiting + listOfNotNull(transaction.running)
    val rest = copy(transactions = transactions.remove(id), endedTransactions = endedTransactions.put(id, context.nowMillis))
    return tickets
        .fold(rest.unchanged()) { step, ticket -> step.then { it.refused(ticket, ErrorKind.TRANSACTION_ABORTED, reason) } }
        .then { it.closing(transaction.slot) }
}

/** Rolls back transactions that exceeded their idle or total time; one with a running call is rolled back after that call. */
internal fun OwnerState.expiredTransactionsRolledBack(context: OwnerContext): OwnerStep {
    val due = transactions.filterValues { it.running == null && isExpired(it, context) }.keys
    return due.fold(unchanged()) { step, id ->
        step.then { it.rolledBack(id, "the transaction exceeded its idle time or its total time", context) }
    }
}

/** Rolls back every transaction of [organisation], except those whose commit was sent. */
internal fun OwnerState.transactionsRolledBackOf(organisation: OrganisationId, context: OwnerContext): OwnerStep {
    val due = transactions.filterValues { it.organisation == organisation && !isCommitting(it) }.keys
    return due.fold(unchanged()) { step, id -> step.then { it.rolledBack(id, "the key of the organisation was withdrawn", context) } }
}

/** Closes the connection of [slot], which occupies its slot until the target has closed it. */
internal fun OwnerState.closing(slot: Int): OwnerStep {
    val name = pool.connections[slot]?.name ?: return unchanged()
    return copy(pool = pool.inState(slot, ConnectionState.Closing)).with(OwnerEffect.Close(slot, name))
}

private fun OwnerState.runInTransaction(ticket: Long, id: TransactionId, transaction: OpenTransaction, context: OwnerContext): OwnerStep {
    val call = calls[ticket]?.call ?: return copy(transactions = transactions.put(id, transaction)).continued(id, context)
    if (context.nowMillis >= call.deadlineMillis) {
        val free = copy(transactions = transactions.put(id, transaction))
        return free.refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed during the wait").then { it.continued(id, context) }
    }
    if (call.operation is Operation.Commit && context.newWriteTerm == null) return rolledBackWithoutLease(ticket, id, transaction, context)
    val running = transaction.copy(running = ticket, lastUsedMillis = context.nowMillis)
    return copy(transactions = transactions.put(id, running)).sentOn(transaction.slot, ticket, context)
}

// The commit has not been sent, so the outcome is certain although the lease has ended.
private fun OwnerState.rolledBackWithoutLease(
    ticket: Long,
    id: TransactionId,
    transaction: OpenTransaction,
    context: OwnerContext,
): OwnerStep = copy(
    transactions = transactions.put(id, transaction.copy(running = ticket)),
).rolledBack(id, "the lease of the group ended before the commit", context)

// If the transaction is unknown here, an earlier owner may have sent its commit.
private fun OwnerState.unknownTransaction(ticket: Long, id: TransactionId): OwnerStep {
    val isCommit = calls[ticket]?.call?.operation is Operation.Commit
    if (isCommit && id !in endedTransactions) return refused(ticket, ErrorKind.OUTCOME_UNKNOWN, "the outcome of the transaction is unknown")
    return refused(ticket, ErrorKind.TRANSACTION_UNKNOWN, "no transaction $id is open")
}

private fun OwnerState.isCommitting(transaction: OpenTransaction): Boolean =
    transaction.running?.let { calls[it]?.call?.operation } is Operation.Commit

private fun isExpired(transaction: OpenTransaction, context: OwnerContext): Boolean {
    val idleMillis = context.nowMillis - transaction.lastUsedMillis
    val totalMillis = context.nowMillis - transaction.startedMillis
    return idleMillis >= context.limits.transactionIdleMillis || totalMillis >= context.limits.transactionTotalMillis
}
