package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.task.Mailbox

/** Routes for other daemons: issue tokens from the shares that this daemon holds and, on a control VM, lease shares. */
internal class LimitRoutes(
    private val holder: Mailbox<ShareHolderCall>,
    private val ledger: Mailbox<ShareLedgerCall>?,
    private val authority: PeerAuthenticator,
    private val leaderOnly: (RouteHandler) -> RouteHandler,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, TOKENS_PATH, authority.guard { tokens(it) }),
        Route(HttpMethod.Post, SHARES_PATH, authority.guard(leaderOnly(RouteHandler { shares(it) }))),
    )

    private suspend fun tokens(request: HttpRequest): HttpReply = try {
        val reply = CompletableDeferred<TokenReply>()
        val body = PeerJson.decodeFromString(TokenRequest.serializer(), request.body)
        val answer = if (holder.offer(ShareHolderCall.IssueTokens(body, reply))) reply.await() else TokenReply()
        HttpReply(OK, PeerJson.encodeToString(TokenReply.serializer(), answer))
    } catch (e: IllegalArgumentException) {
        malformed(e)
    }

    private suspend fun shares(request: HttpRequest): HttpReply = try {
        val reply = CompletableDeferred<Result<ShareReply, ProxyError>>()
        val body = PeerJson.decodeFromString(ShareRequest.serializer(), request.body)
        val isAccepted = ledger?.offer(ShareLedgerCall(body, reply)) ?: false
        val answer = if (isAccepted) reply.await() else Err(ProxyError(ErrorKind.NO_QUORUM, "this VM has no share ledger"))
        answer.mapBoth(
            success = { HttpReply(OK, PeerJson.encodeToString(ShareReply.serializer(), it)) },
            failure = { errorReply(it) },
        )
    } catch (e: IllegalArgumentException) {
        malformed(e)
    }

    private fun malformed(e: IllegalArgumentException) =
        errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))

    internal companion object {
        const val TOKENS_PATH = "/internal/limit/tokens"
        const val SHARES_PATH = "/internal/limit/shares"
        private const val OK = 200
    }
}
