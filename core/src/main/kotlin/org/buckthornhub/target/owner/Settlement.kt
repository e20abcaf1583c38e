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

/** Settles what came back from the target: first the connection, then the call. */
internal fun OwnerState.executed(message: OwnerMessage.Executed, context: OwnerContext): OwnerStep {
    val pending = calls[message.ticket]
    val timed = if (pending?.sentMillis == null) this else measured(context.nowMillis - pending.sentMillis)
    // The transaction was ended while its call ran; the connection is being closed and the call was answered.
    if (pending == null) return timed.unchanged()
    val answer =
        message.result.get()?.copy(fromReplica = entry.role == TargetRole.REPLICA) ?: return timed.failed(message, pending, context)
    return timed
        .movedTo(answer.position)
        .connectionUsed(message.slot, message.ticket, pending, context)
        .then { it.succeeded(message.ticket, pending, answer, context) }
        .then { it.scheduled(context) }
}

/** Answers every write that one more instance is now known to hold, or whose wait is over. */
internal fun OwnerState.writesConfirmed(context: OwnerContext): OwnerStep =
    unconfirmed.entries.fold(unchanged()) { step, (ticket, write) -> step.then { it.confirmed(ticket, write, context) } }

/** Asks the group again while a write waits. */
internal fun OwnerState.watchingGroup(delayMillis: Long = 0): OwnerStep =
    if (isWatchingGroup || unconfirmed.isEmpty()) unchanged() else copy(isWatchingGroup = true).with(OwnerEffect.WatchGroup(delayMillis))

private fun OwnerState.confirmed(ticket: Long, write: UnconfirmedWrite, context: OwnerContext): OwnerStep {
    val position = write.answer.position
    if (context.leaseTerm != position.term) return unknown(ticket, "the lease of term ${position.term.value} ended")
    val isHeld = progress.values.any { it.target != entry.target && it.term == position.term && it.received >= position.index }
    if (isHeld) return answered(ticket, Ok(write.answer))
    if (context.nowMillis >= write.untilMillis) return unknown(ticket, "no second instance has reported position ${position.index.value}")
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
        if (context.leaseTerm != answer.position.term) return unknown(ticket, "the answer is not of the term of the lease")
        return answered(ticket, Ok(answer))
    }
    return copy(unconfirmed = unconfirmed.put(ticket, write)).confirmed(ticket, write, context).then { it.watchingGroup() }
}

private fun OwnerState.read(ticket: Long, pending: PendingCall, answer: Answer, context: OwnerContext): OwnerStep {
    if (context.history.contains(held = answer.position, wanted = pending.call.position)) return answered(ticket, Ok(answer))
    return refused(ticket, ErrorKind.ANSWER_LOST, "target ${entry.target} went back behind the session while it read")
}

private fun OwnerState.connectionUsed(slot: Int, ticket: Long, pending: PendingCall, context: OwnerContext): OwnerStep =
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

// Calls that came after the end of their transaction have nothing to run in.
private fun OwnerState.unpinned(slot: Int, ticket: Long, id: TransactionId, context: OwnerContext): OwnerStep {
    val late = transactions[id]?.waiting.orEmpty() - ticket
    val rest =
        copy(
            transactions = transactions.remove(id),
            ended = ended.put(id, context.nowMillis),
            pool = pool.inState(slot, ConnectionState.Idle(context.nowMillis)),
        )
    return late.fold(rest.unchanged()) { step, other ->
        step.then { it.refused(other, ErrorKind.TRANSACTION_UNKNOWN, "transaction $id has ended") }
    }
}

private fun OwnerState.failed(message: OwnerMessage.Executed, pending: PendingCall, context: OwnerContext): OwnerStep {
    val error = checkNotNull(message.result.getError())
    val isClean = error.kind in cleanKinds
    val id = pending.call.operation.openTransaction()
    if (id != null) return failedInside(message, id, error, isClean, context).then { it.scheduled(context) }
    val settled = if (isClean) {
        copy(
            pool = pool.inState(message.slot, ConnectionState.Idle(context.nowMillis)),
        ).unchanged()
    } else {
        closing(message.slot)
    }
    return settled.then { it.answered(message.ticket, Err(error)) }.then { it.scheduled(context) }
}

private fun OwnerState.failedInside(
    message: OwnerMessage.Executed,
    id: TransactionId,
    error: ProxyError,
    isClean: Boolean,
    context: OwnerContext,
): OwnerStep {
    val isCommit = calls[message.ticket]?.call?.operation is Operation.Commit
    if (isClean && !isCommit) return answered(message.ticket, Err(error)).then { it.continued(id, context) }
    // Without its commit a transaction leaves nothing; a commit that was sent is the only one in doubt.
    val own = if (isCommit) answered(message.ticket, Err(error)) else unchanged()
    return own.then { it.rolledBack(id, "the connection of the transaction was lost: ${error.detail}", context) }
}

private fun OwnerState.unknown(ticket: Long, detail: String): OwnerStep = refused(ticket, ErrorKind.OUTCOME_UNKNOWN, detail)

private fun OwnerState.measured(heldMillis: Long): OwnerState =
    copy(serviceMillis = serviceMillis + (heldMillis - serviceMillis) / SERVICE_SAMPLES)

// Whole answers of the target that leave the connection as it was.
private val cleanKinds = setOf(ErrorKind.STATEMENT_REJECTED, ErrorKind.NO_PRIMARY, ErrorKind.ALREADY_RAN)
private const val SERVICE_SAMPLES = 16.0
