package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.pool.ConnectionState
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.TransactionId

/** Runs a call on the connection of its transaction, after the calls of that transaction that came before it. */
internal fun OwnerState.submittedInside(ticket: Long, id: TransactionId, context: OwnerContext): OwnerStep {
    val call = calls.getValue(ticket).call
    val transaction = transactions[id] ?: return unknownTransaction(ticket, id)
    if (transaction.organisation != call.organisation) return refused(ticket, ErrorKind.TRANSACTION_UNKNOWN, "no transaction $id is open")
    if (transaction.running != null) {
        return copy(transactions = transactions.put(id, transaction.copy(waiting = transaction.waiting.add(ticket)))).unchanged()
    }
    return runInside(ticket, id, transaction, context)
}

/** Frees the connection of [id] for the next call of the transaction. */
internal fun OwnerState.continued(id: TransactionId, context: OwnerContext): OwnerStep {
    val transaction = transactions[id] ?: return unchanged()
    val free = transaction.copy(running = null, usedMillis = context.nowMillis)
    val next = free.waiting.firstOrNull() ?: return copy(transactions = transactions.put(id, free)).unchanged()
    return runInside(next, id, free.copy(waiting = free.waiting.removeAt(0)), context)
}

/** Rolls [id] back by closing its connection; calls that run or wait in it had no effect. */
internal fun OwnerState.rolledBack(id: TransactionId, reason: String, context: OwnerContext): OwnerStep {
    val transaction = transactions[id] ?: return unchanged()
    val tickets = transaction.waiting + listOfNotNull(transaction.running)
    val rest = copy(transactions = transactions.remove(id), ended = ended.put(id, context.nowMillis))
    return tickets
        .fold(rest.unchanged()) { step, ticket -> step.then { it.refused(ticket, ErrorKind.TRANSACTION_ABORTED, reason) } }
        .then { it.closing(transaction.slot) }
}

/** Rolls back what was left idle or has lasted too long; a call that runs is waited for. */
internal fun OwnerState.expiredTransactionsEnded(context: OwnerContext): OwnerStep {
    val due = transactions.filterValues { it.running == null && isExpired(it, context) }.keys
    return due.fold(unchanged()) { step, id -> step.then { it.rolledBack(id, "the transaction was left open for too long", context) } }
}

/** Rolls back every transaction of [organisation], but for those whose commit was sent. */
internal fun OwnerState.transactionsEndedOf(organisation: OrganisationId, context: OwnerContext): OwnerStep {
    val due = transactions.filterValues { it.organisation == organisation && !isCommitting(it) }.keys
    return due.fold(unchanged()) { step, id -> step.then { it.rolledBack(id, "the key was withdrawn", context) } }
}

/** Closes the connection of [slot], which then counts until the target has let it go. */
internal fun OwnerState.closing(slot: Int): OwnerStep {
    val name = pool.connections[slot]?.name ?: return unchanged()
    return copy(pool = pool.inState(slot, ConnectionState.Closing)).with(OwnerEffect.Close(slot, name))
}

private fun OwnerState.runInside(ticket: Long, id: TransactionId, transaction: OpenTransaction, context: OwnerContext): OwnerStep {
    val call = calls[ticket]?.call ?: return copy(transactions = transactions.put(id, transaction)).continued(id, context)
    if (context.nowMillis >= call.deadlineMillis) {
        val free = copy(transactions = transactions.put(id, transaction))
        return free.refused(ticket, ErrorKind.DEADLINE_EXPIRED, "the deadline passed before its turn").then { it.continued(id, context) }
    }
    if (call.operation is Operation.Commit && context.newWriteTerm == null) return rolledBackFor(ticket, id, transaction, context)
    val running = transaction.copy(running = ticket, usedMillis = context.nowMillis)
    return copy(transactions = transactions.put(id, running)).sentOn(transaction.slot, ticket, context)
}

// Nothing of the transaction has been committed, so the end of the lease leaves no doubt.
private fun OwnerState.rolledBackFor(ticket: Long, id: TransactionId, transaction: OpenTransaction, context: OwnerContext): OwnerStep =
    copy(transactions = transactions.put(id, transaction.copy(running = ticket))).rolledBack(id, "the lease of the group ended", context)

// A commit that is not known here may have been sent by an earlier owner.
private fun OwnerState.unknownTransaction(ticket: Long, id: TransactionId): OwnerStep {
    val isCommit = calls[ticket]?.call?.operation is Operation.Commit
    if (isCommit && id !in ended) return refused(ticket, ErrorKind.OUTCOME_UNKNOWN, "this owner does not know how the transaction ended")
    return refused(ticket, ErrorKind.TRANSACTION_UNKNOWN, "no transaction $id is open")
}

private fun OwnerState.isCommitting(transaction: OpenTransaction): Boolean =
    transaction.running?.let { calls[it]?.call?.operation } is Operation.Commit

private fun isExpired(transaction: OpenTransaction, context: OwnerContext): Boolean {
    val idleMillis = context.nowMillis - transaction.usedMillis
    val totalMillis = context.nowMillis - transaction.beganMillis
    return idleMillis >= context.limits.transactionIdleMillis || totalMillis >= context.limits.transactionTotalMillis
}
