package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.SampleBody
import org.buckthornhub.statement.Answer

/** Messages handled by [GatewayTask]. */
internal sealed interface GatewayMessage {
    /** Forwards [call] to the owner of its target in this daemon and completes [reply] with the result. */
    data class Run(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : GatewayMessage

    /** Completes [reply] with position samples of a primary that this daemon owns. */
    data class Samples(
        val body: SampleBody,
        val reply: CompletableDeferred<SampleAges>,
    ) : GatewayMessage

    /** Rolls back every transaction of [organisation]. */
    data class EndTransactionsOf(val organisation: OrganisationId) : GatewayMessage

    /** Triggers the forwarding of new announcements to the owners of the targets. */
    data object Tick : GatewayMessage
}
