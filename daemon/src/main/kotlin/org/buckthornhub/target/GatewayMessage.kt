package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.SampleBody
import org.buckthornhub.statement.Answer

/** What the task that keeps the owners of targets is told. */
internal sealed interface GatewayMessage {
    /** Hands [call] to the owner of its target in this daemon. */
    data class Run(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : GatewayMessage

    /** Completes [reply] with samples of a primary that this daemon works for. */
    data class Samples(
        val body: SampleBody,
        val reply: CompletableDeferred<SampleAges>,
    ) : GatewayMessage

    /** Rolls back every transaction of [organisation]. */
    data class EndTransactionsOf(val organisation: OrganisationId) : GatewayMessage

    /** Time to pass announcements on. */
    data object Tick : GatewayMessage
}
