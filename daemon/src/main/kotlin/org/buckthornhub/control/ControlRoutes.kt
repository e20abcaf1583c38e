package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.withPeerBody
import org.buckthornhub.replication.PeerMessage

/** Routes of a control VM: replication messages from other members and, on the leader, proposals from any daemon. */
internal class ControlRoutes(
    private val task: ControlTask,
    private val authority: PeerAuthenticator,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, MemberLinkTask.PATH, authority.guard { receive(it) }),
        Route(HttpMethod.Post, PROPOSE, authority.guard(LeaderGuard(task.leadership).guard { propose(it) })),
    )

    private suspend fun receive(request: HttpRequest): HttpReply = withPeerBody(request, PeerMessage.serializer()) { message ->
        val replies = CompletableDeferred<List<PeerMessage>>()
        task.offer(ControlMessage.Exchange(message, replies))
        val messages = withTimeoutOrNull(EXCHANGE_TIMEOUT_MILLIS) { replies.await() }.orEmpty()
        HttpReply(status = 200, body = PeerJson.encodeToString(ListSerializer(PeerMessage.serializer()), messages))
    }

    private suspend fun propose(request: HttpRequest): HttpReply = withPeerBody(request, ControlCommand.serializer()) { command ->
        val result = withTimeoutOrNull(COMMIT_TIMEOUT_MILLIS) { task.propose(command) }
            ?: Err(ProxyError(ErrorKind.NO_QUORUM, "no majority answered within $COMMIT_TIMEOUT_MILLIS ms"))
        result.mapBoth(
            success = { HttpReply(status = 200, body = PeerJson.encodeToString(CommandOutcome.serializer(), it)) },
            failure = { errorReply(it) },
        )
    }

    internal companion object {
        const val PROPOSE = "/internal/control/propose"
        private const val EXCHANGE_TIMEOUT_MILLIS = 400L
        private const val COMMIT_TIMEOUT_MILLIS = 1_200L
    }
}
