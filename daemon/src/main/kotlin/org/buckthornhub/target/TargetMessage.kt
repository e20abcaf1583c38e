package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.OwnerMessage

/** Messages handled by [TargetTask]. */
internal sealed interface TargetMessage {
    /** Runs [call] on the target and completes [reply]. */
    data class Run(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : TargetMessage

    /** Completes [reply] with position samples of this primary at or after [after]. */
    data class Samples(
        val after: Position?,
        val reply: CompletableDeferred<SampleAges>,
    ) : TargetMessage

    /** Passes [message] to the decider of the owner. */
    data class Event(val message: OwnerMessage) : TargetMessage
}
