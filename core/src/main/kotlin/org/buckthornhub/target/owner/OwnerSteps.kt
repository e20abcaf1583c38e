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

/** One step of a decision of the owner. */
internal typealias OwnerStep = Decision<OwnerState, OwnerEffect>

internal fun OwnerState.unchanged(): OwnerStep = Decision(this)

internal fun OwnerState.with(vararg effects: OwnerEffect): OwnerStep = Decision(this, persistentListOf(*effects))

/** This step, then [next] on its state. */
internal fun OwnerStep.then(next: (OwnerState) -> OwnerStep): OwnerStep {
    val following = next(state)
    return Decision(following.state, effects.addAll(following.effects))
}

/** Answers [ticket], and every resend that waits for the same request. */
internal fun OwnerState.answered(ticket: Long, result: Result<Answer, ProxyError>): OwnerStep {
    val call = calls[ticket]?.call ?: return unchanged()
    val rest = copy(calls = calls.remove(ticket), behind = behind.remove(ticket), unconfirmed = unconfirmed.remove(ticket))
    val own = rest.with(OwnerEffect.Reply(ticket, result))
    return if (isRemembered(call.operation)) own.then { it.settled(keyOf(call), result) } else own
}

internal fun OwnerState.refused(ticket: Long, kind: ErrorKind, detail: String, retryAfterMillis: Long? = null): OwnerStep =
    answered(ticket, Err(ProxyError(kind, detail, retryAfterMillis)))

internal fun keyOf(call: TargetCall): RequestKey = RequestKey(call.organisation, call.requestId)

/** True if a second run would do harm, so that the ledger has to know the request. */
internal fun isRemembered(operation: Operation): Boolean = when (operation) {
    is Operation.Run -> operation.statement.access == Access.WRITE && !operation.statement.repeatable
    is Operation.RunInTransaction -> !operation.statement.repeatable
    is Operation.Begin, is Operation.Commit -> true
    is Operation.RollBack -> false
}

/** True for what only the lease holder may run outside a transaction. */
internal fun needsLease(operation: Operation): Boolean = when (operation) {
    is Operation.Run -> operation.statement.access == Access.WRITE
    is Operation.Begin, is Operation.Commit -> true
    is Operation.RunInTransaction, is Operation.RollBack -> false
}
