package org.buckthornhub.promotion

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.caller.errorReply
import org.buckthornhub.control.ControlClient
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.promotion.wire.MoveBody
import org.buckthornhub.task.Mailbox

/**
 * Routes for switchovers (planned changes of a primary). Any daemon accepts the request and passes it to the control leader.
 *
 * @param leader mailbox of the promotion task; null on a VM outside the control quorum
 * @param leaderOnly wraps routes that only the control leader may answer
 */
internal class SwitchoverRoutes(
    private val control: ControlClient,
    private val leader: Mailbox<PromotionTaskMessage>?,
    private val operators: OperatorAuthority,
    private val peers: PeerAuthenticator,
    private val leaderOnly: (RouteHandler) -> RouteHandler,
) {
    fun routes(): List<Route> = listOfNotNull(
        Route(HttpMethod.Post, "/v1/operator/primary", operators.guard { forwardToLeader(it) }),
        leader?.let { mailbox -> Route(HttpMethod.Post, MOVE_PATH, peers.guard(leaderOnly(RouteHandler { accept(mailbox, it) }))) },
    )

    private suspend fun forwardToLeader(request: HttpRequest): HttpReply = control.post(MOVE_PATH, request.body, TIMEOUT_MILLIS).mapBoth(
        success = { it },
        failure = { errorReply(ProxyError(ErrorKind.NO_QUORUM, it.detail)) },
    )

    private suspend fun accept(mailbox: Mailbox<PromotionTaskMessage>, request: HttpRequest): HttpReply {
        val body =
            try {
                WireJson.decodeFromString(MoveBody.serializer(), request.body)
            } catch (e: IllegalArgumentException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
            }
        val answer = CompletableDeferred<Result<GroupLeadership, ProxyError>>()
        val message = PromotionMessage.Move(body.group, body.target) { answer.complete(it) }
        if (!mailbox.offer(PromotionTaskMessage.Decide(message))) answer.complete(Err(overloaded))
        return answer.await().mapBoth(
            success = { HttpReply(OK, WireJson.encodeToString(GroupLeadership.serializer(), it)) },
            failure = { errorReply(it) },
        )
    }

    private companion object {
        const val MOVE_PATH = "/internal/promotion/move"
        const val TIMEOUT_MILLIS = 8_000L
        const val OK = 200
        val overloaded = ProxyError(ErrorKind.QUEUE_FULL, "too many switchover requests are waiting")
    }
}
