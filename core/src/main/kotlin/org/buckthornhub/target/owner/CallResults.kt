package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.pool.ConnectionState
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.statement.openTransaction
import org.buckthornhub.target.TargetRole

/** Handles the result of a call on the target: updates the connection first, then answers the call. */
internal fun OwnerState.executed(message: OwnerMessage.Executed, context: OwnerContext): OwnerStep {
    val pending = calls[message.ticket]
    val timed = if (pending?.sentMillis == null) this else withServiceTime(context.nowMillis - pending.sentMillis)
    // The transaction was ended while its call ran: the call is answered already and the connection is being closed.
    if (pending == null) return timed.unchanged()
    val answer =
        message.result.get()?.copy(fromReplica = entry.role == TargetRole.REPLICA) ?: return timed.failed(message, pending, context)
    return timed
        .advancedTo(answer.position)
        .connectionUpdated(message.slot, message.ticket, pending, context)
        .then { it.succeeded(message.ticket, pending, answer, context) }
        .then { it.scheduled(context) }
}

/** Answers every waiting write that a second instance is known to have received, or whose wait is over. */
internal fun OwnerState.writesConfirmed(context: OwnerContext): OwnerStep =
    unconfirmed.entries.fold(unchanged()) { step, (ticket, write) -> step.then { it.confirmed(ticket, write, context) } }

/** Polls the progress of the other instances while writes wait for a second instance. */
internal fun OwnerState.pollingGroup(delayMillis: Long = 0): OwnerStep =
    if (isPollingGroup || unconfirmed.isEmpty()) unchanged() else copy(isPollingGroup = true).with(OwnerEffect.PollGroup(delayMillis))

private fun OwnerState.confirmed(ticket: Long, write: UnconfirmedWrite, context: OwnerContext): OwnerStep {
    val position = write.answer.position
    if (context.leaseTerm != position.term) return inDoubt(ticket, "the lease of term ${position.term.value} is no longer held")
    val isHeld = progress.values.any { it.target != entry.target && it.term == position.term && it.received >= position.index }
    if (isHeld) return answered(ticket, Ok(write.answer))
    if (context.nowMillis >= write.untilMillis) return inDoubt(ticket, "no other instance reached position ${position.index.value} in time")
    return unchanged()
}

private fun OwnerState.succeeded(ticket: Long, pending: PendingCall, answer: Answer, context: OwnerContext): OwnerStep =
    when (val operation = pending.call.operation) {
        is Operation.Begin -> answered(ticket, Ok(answer.copy(transaction = pending.newTransaction)))
        is Operation.RunInTransaction, is Operation.RollBack -> answered(ticket, Ok(answer))
        is Operation.Commit -> written(ticket, answer, context)
        is Operation.Run -> if (needsLease(operation)) written(ticket, answer, context) else read(ticket, pending, answer, context)
    }

private fun OwnerState.written(ticket: Long, answer: Answer, context: OwnerContext): OwnerStep {
    val write = UnconfirmedWrite(answer, context.nowMillis + context.limits.acknowledgeMillis)
    if (context.limits.acknowledgement == WriteAcknowledgement.PRIMARY) {
        if (context.leaseTerm != answer.position.term) return inDoubt(ticket, "the term of the answer is not that of the lease")
        return answered(ticket, Ok(answer))
    }
    return copy(unconfirmed = unconfirmed.put(ticket, write)).confirmed(ticket, write, context).then { it.pollingGroup() }
}

private fun OwnerState.read(ticket: Long, pending: PendingCall, answer: Answer, context: OwnerContext): OwnerStep {
    if (context.history.contains(held = answer.position, wanted = pending.call.position)) return answered(ticket, Ok(answer))
    return refused(ticket, ErrorKind.ANSWER_LOST, "target ${entry.target} fell back behind the position of the session during the read")
}

private fun OwnerState.connectionUpdated(slot: Int, ticket: Long, pending: PendingCall, context: OwnerContext): OwnerStep =
    when (val operation = pending.call.operation) {
        is Operation.Run -> copy(pool = pool.inState(slot, ConnectionState.Idle(context.nowMillis))).unchanged()
        is Operation.Begin -> pinned(slot, pending, context).unchanged()
        is Operation.RunInTransaction -> continued(operation.transaction, context)
        is Operation.Commit -> unpinned(slot, ticket, operation.transaction, context)
        is Operation.RollBack -> unpinned(slot, ticket, operation.transaction, context)
    }

private fun OwnerState.pinned(slot: Int, pending: PendingCall, context: OwnerContext): OwnerState {
    val id = pending.newTransaction
    val transaction = OpenTransaction(pending.call.organisation, slot, context.nowMillis, context.nowMillis)
    return copy(pool = pool.inState(slot, ConnectionState.Pinned(id)), transactions = transactions.put(id, transaction))
}

// Calls that still wait when their transaction ends have no transaction to run in.
private fun OwnerState.unpinned(slot: Int, ticket: Long, id: TransactionId, context: OwnerContext): OwnerStep {
    val late = transactions[id]?.waiting.orEmpty() - ticket
    val rest =
        copy(
            transactions = transactions.remove(id),
            endedTransactions = endedTransactions.put(id, context.nowMillis),
            pool = pool.inState(slot, ConnectionState.Idle(context.nowMillis)),
        )
    return late.fold(rest.unchanged()) { step, other ->
        step.then { it.refused(other, ErrorKind.TRANSACTION_UNKNOWN, "transaction $id has already ended") }
    }
}

private fun OwnerState.failed(message: OwnerMessage.Executed, pending: PendingCall, context: OwnerContext): OwnerStep {
    val error = checkNotNull(message.result.getError())
    val isReusable = error.kind in reusableAfter
    val id = pending.call.operation.openTransaction()
    if (id != null) return failedInTransaction(message, id, error, isReusable, context).then { it.scheduled(context) }
    val settled = if (isReusable) {
        copy(
            pool = pool.inState(message.slot, ConnectionState.Idle(context.nowMillis)),
        ).unchanged()
    } else {
        closing(message.slot)
    }
    return settled.then { it.answered(message.ticket, Err(error)) }.then { it.scheduled(context) }
}

private fun OwnerState.failedInTransaction(
    message: OwnerMessage.Executed,
    id: TransactionId,
    error: ProxyError,
    isReusable: Boolean,
    context: OwnerContext,
): OwnerStep {
    val isCommit = calls[message.ticket]?.call?.operation is Operation.Commit
    if (isReusable && !isCommit) return answered(message.ticket, Err(error)).then { it.continued(id, context) }
    // A transaction has no effect without its commit, so only a commit that was sent has an unknown outcome.
    val own = if (isCommit) answered(message.ticket, Err(error)) else unchanged()
    return own.then { it.rolledBack(id, "the connection of the transaction was lost: ${error.detail}", context) }
}

private fun OwnerState.inDoubt(ticket: Long, detail: String): OwnerStep = refused(ticket, ErrorKind.OUTCOME_UNKNOWN, detail)

private fun OwnerState.withServiceTime(durationMillis: Long): OwnerState =
    copy(serviceMillis = serviceMillis + (durationMillis - serviceMillis) / SERVICE_SAMPLES)

// Errors that are complete answers of the target, after which the connection can be used again.
private val reusableAfter = setOf(ErrorKind.STATEMENT_REJECTED, ErrorKind.NO_PRIMARY, ErrorKind.ALREADY_RAN)
private const val SERVICE_SAMPLES = 16.0
