package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.decision.Decision
import org.buckthornhub.target.wire.TargetFault

/** New state of an instance and the effects to execute. */
internal typealias InstanceDecision = Decision<InstanceState, InstanceEffect>

/** Returns a decision that keeps this state and completes [reply] with [value]. */
internal fun <T> InstanceState.answering(
    reply: CompletableDeferred<Result<T, TargetFault>>,
    value: Result<T, TargetFault>,
): InstanceDecision = Decision(this, persistentListOf(InstanceEffect.Answer(reply, value)))

/** Returns a decision that keeps this state and completes [reply] with an error. */
internal fun <T> InstanceState.refusing(
    reply: CompletableDeferred<Result<T, TargetFault>>,
    code: TargetFault.Code,
    detail: String,
): InstanceDecision = answering(reply, Err(TargetFault(code, detail)))
