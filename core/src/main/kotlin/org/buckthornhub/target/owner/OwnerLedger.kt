package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.error.promisesNoEffect
import org.buckthornhub.repeat.DeduplicationEntry
import org.buckthornhub.repeat.RequestKey
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.TargetCall

/** Stores the result of a request for later resends and answers the resends that wait for it. */
internal fun OwnerState.resultStored(key: RequestKey, result: Result<Answer, ProxyError>): OwnerStep {
    val entry = ledger[key] ?: return unchanged()
    val kept = copy(ledger = if (mayRunAgain(result)) ledger.remove(key) else ledger.put(key, DeduplicationEntry(entry.operation, result)))
    val replies = entry.waiters.map { OwnerEffect.Reply(it, result) }
    val done = entry.waiters.fold(kept) { state, ticket -> state.copy(calls = state.calls.remove(ticket)) }
    return done.with(*replies.toTypedArray())
}

/** Answers a resend from the ledger, or makes it wait for a result that is still in flight; null if [call] is the first send. */
internal fun OwnerState.answeredFromLedger(ticket: Long, call: TargetCall, context: OwnerContext): OwnerStep? {
    if (!mustRunOnce(call.operation)) return null
    val key = keyOf(call)
    val entry = ledger[key] ?: return null
    if (entry.operation !=
        call.operation
    ) {
        return refused(entry, ticket, ErrorKind.ALREADY_RAN, "the request id was already used for another request")
    }
    val result = entry.result ?: return copy(ledger = ledger.put(key, entry.copy(waiters = entry.waiters.add(ticket)))).unchanged()
    val answer = result.get() ?: return replied(ticket, result)
    // A replaced primary must not acknowledge a write, not even one that it has acknowledged before.
    if (answer.position.term != context.leaseTerm) return refused(entry, ticket, ErrorKind.OUTCOME_UNKNOWN, "the lease of its term ended")
    return replied(ticket, Ok(answer))
}

private fun OwnerState.refused(entry: DeduplicationEntry, ticket: Long, kind: ErrorKind, detail: String): OwnerStep =
    replied(ticket, Err(ProxyError(kind, "$detail; the first request is ${if (entry.result == null) "in flight" else "finished"}")))

private fun OwnerState.replied(ticket: Long, result: Result<Answer, ProxyError>): OwnerStep =
    copy(calls = calls.remove(ticket)).with(OwnerEffect.Reply(ticket, result))

private fun mayRunAgain(result: Result<Answer, ProxyError>): Boolean {
    val error = result.getError() ?: return false
    return error.kind.promisesNoEffect
}
