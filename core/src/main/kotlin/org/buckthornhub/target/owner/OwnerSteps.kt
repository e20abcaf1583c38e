package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.repeat.RequestKey
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall

/** One step of an owner's decision: the next state and the effects so far. */
internal typealias OwnerStep = Decision<OwnerState, OwnerEffect>

internal fun OwnerState.unchanged(): OwnerStep = Decision(this)

internal fun OwnerState.with(vararg effects: OwnerEffect): OwnerStep = Decision(this, persistentListOf(*effects))

/** Applies [next] to the state of this step and keeps the effects of both in order. */
internal fun OwnerStep.then(next: (OwnerState) -> OwnerStep): OwnerStep {
    val following = next(state)
    return Decision(following.state, effects.addAll(following.effects))
}

/** Answers [ticket] and every resend that waits for the same request. */
internal fun OwnerState.answered(ticket: Long, result: Result<Answer, ProxyError>): OwnerStep {
    val call = calls[ticket]?.call ?: return unchanged()
    val rest =
        copy(calls = calls.remove(ticket), waitingReads = waitingReads.remove(ticket), unconfirmed = unconfirmed.remove(ticket))
    val own = rest.with(OwnerEffect.Reply(ticket, result))
    return if (mustRunOnce(call.operation)) own.then { it.resultStored(keyOf(call), result) } else own
}

internal fun OwnerState.refused(ticket: Long, kind: ErrorKind, detail: String, retryAfterMillis: Long? = null): OwnerStep =
    answered(ticket, Err(ProxyError(kind, detail, retryAfterMillis)))

internal fun keyOf(call: TargetCall): RequestKey = RequestKey(call.organisation, call.requestId)

/** True if running [operation] twice would do harm, so that the ledger must keep its request. */
internal fun mustRunOnce(operation: Operation): Boolean = when (operation) {
    is Operation.Run -> operation.statement.access == Access.WRITE && !operation.statement.repeatable
    is Operation.RunInTransaction -> !operation.statement.repeatable
    is Operation.Begin, is Operation.Commit -> true
    is Operation.RollBack -> false
}

/** True if only the lease holder may run [operation] outside a transaction. */
internal fun needsLease(operation: Operation): Boolean = when (operation) {
    is Operation.Run -> operation.statement.access == Access.WRITE
    is Operation.Begin, is Operation.Commit -> true
    is Operation.RunInTransaction, is Operation.RollBack -> false
}
