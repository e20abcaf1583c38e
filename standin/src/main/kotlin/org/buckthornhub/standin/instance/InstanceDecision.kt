package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.decision.Decision
import org.buckthornhub.target.wire.TargetFault

/** A decision of an instance. */
internal typealias InstanceDecision = Decision<InstanceState, InstanceEffect>

/** This state, with [value] as the answer to [reply]. */
internal fun <T> InstanceState.answering(
    reply: CompletableDeferred<Result<T, TargetFault>>,
    value: Result<T, TargetFault>,
): InstanceDecision = Decision(this, persistentListOf(InstanceEffect.Answer(reply, value)))

/** This state, with a refusal as the answer to [reply]. */
internal fun <T> InstanceState.refusing(
    reply: CompletableDeferred<Result<T, TargetFault>>,
    code: TargetFault.Code,
    detail: String,
): InstanceDecision = answering(reply, Err(TargetFault(code, detail)))
