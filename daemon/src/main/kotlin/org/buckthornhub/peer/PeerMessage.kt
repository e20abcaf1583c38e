package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.SampleAges
import org.buckthornhub.target.TargetCall

/** What the task that owns the links to other daemons is told. */
internal sealed interface PeerMessage {
    /** Sends [call] to the daemon on [owner] and completes [reply]. */
    data class Forward(
        val owner: VmId,
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : PeerMessage

    /** Asks the daemon on [owner] for samples and completes [reply]. */
    data class Samples(
        val owner: VmId,
        val body: SampleBody,
        val reply: CompletableDeferred<SampleAges>,
    ) : PeerMessage
}
