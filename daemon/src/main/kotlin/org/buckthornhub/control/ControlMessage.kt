package org.buckthornhub.control

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.replication.ReplicationMessage

/** Messages handled by [ControlTask]. */
internal sealed interface ControlMessage {
    data class Replicate(val message: ReplicationMessage) : ControlMessage

    /** A message from another member; [replies] completes with the messages to send back to it. */
    data class Exchange(
        val message: PeerMessage,
        val replies: CompletableDeferred<List<PeerMessage>>,
    ) : ControlMessage

    data class Propose(
        val command: ControlCommand,
        val reply: CompletableDeferred<Result<CommandOutcome, ProxyError>>,
    ) : ControlMessage

    data class Confirm(val reply: CompletableDeferred<Result<Long, ProxyError>>) : ControlMessage
}
