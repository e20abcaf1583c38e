package org.buckthornhub.control

import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.replication.ReplicationMessage

/** What a control VM takes from the other ones, and what its leader takes from any daemon. */
internal class ControlRoutes(
    private val task: ControlTask,
    private val authority: PeerAuthority,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, MemberLinkTask.PATH, authority.guard { receive(it) }),
        Route(HttpMethod.Post, PROPOSE, authority.guard(LeaderGuard(task.leadership).guard { propose(it) })),
    )

    private fun receive(request: HttpRequest): HttpReply {
        val message =
            try {
                PeerJson.decodeFromString(PeerMessage.serializer(), request.body)
            } catch (e: SerializationException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
            }
        task.offer(ControlMessage.Replicate(ReplicationMessage.Received(message)))
        return HttpReply(status = 200, body = "")
    }

    private suspend fun propose(request: HttpRequest): HttpReply {
        val command =
            try {
                PeerJson.decodeFromString(ControlCommand.serializer(), request.body)
            } catch (e: SerializationException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
            }
        val result = withTimeoutOrNull(COMMIT_TIMEOUT_MILLIS) { task.propose(command) }
            ?: return errorReply(ProxyError(ErrorKind.NO_QUORUM, "no majority answered within $COMMIT_TIMEOUT_MILLIS ms"))
        return result.mapBoth(
            success = { HttpReply(status = 200, body = PeerJson.encodeToString(CommandOutcome.serializer(), it)) },
            failure = { errorReply(it) },
        )
    }

    internal companion object {
        const val PROPOSE = "/internal/control/propose"
        private const val COMMIT_TIMEOUT_MILLIS = 3_000L
    }
}
