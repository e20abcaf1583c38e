package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.OwnerMessage

/** What the task that owns a target is told. */
internal sealed interface TargetMessage {
    /** Runs [call] on the target and completes [reply]. */
    data class Run(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : TargetMessage

    /** Completes [reply] with samples of this primary after [after]. */
    data class Samples(
        val after: Position?,
        val reply: CompletableDeferred<SampleAges>,
    ) : TargetMessage

    /** Something for the decider of the owner. */
    data class Event(val message: OwnerMessage) : TargetMessage
}
