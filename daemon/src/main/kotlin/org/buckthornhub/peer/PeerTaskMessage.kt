package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.SampleAges
import org.buckthornhub.target.TargetCall

/** Messages handled by [PeerTask]. */
internal sealed interface PeerTaskMessage {
    /** Sends [call] to the daemon on [owner] and completes [reply]. */
    data class Forward(
        val owner: VmId,
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : PeerTaskMessage

    /** Requests commit samples from the daemon on [owner] and completes [reply]. */
    data class Samples(
        val owner: VmId,
        val body: SampleBody,
        val reply: CompletableDeferred<SampleAges>,
    ) : PeerTaskMessage
}
