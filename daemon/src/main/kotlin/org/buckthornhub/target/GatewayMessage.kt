package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer

/** What the task that hands calls to the owners of targets is told. */
internal sealed interface GatewayMessage {
    /** Hands [call] to the owner of its target. */
    data class Forward(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : GatewayMessage
}
