package org.buckthornhub.control

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.replication.ReplicationMessage

/** What the task of a control VM is told. */
internal sealed interface ControlMessage {
    data class Replicate(val message: ReplicationMessage) : ControlMessage

    data class Propose(
        val command: ControlCommand,
        val answer: CompletableDeferred<Result<CommandOutcome, ProxyError>>,
    ) : ControlMessage

    data class Confirm(val answer: CompletableDeferred<Result<Long, ProxyError>>) : ControlMessage
}
