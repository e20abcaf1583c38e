package org.buckthornhub.organisation

import io.ktor.http.HttpMethod
import org.buckthornhub.caller.errorReply
import org.buckthornhub.control.FeedTask
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.settings.Settings

/** Route for withdrawals from other daemons; confirms each once this daemon refuses the key. */
internal class WithdrawalRoutes(
    private val settings: Settings,
    private val feed: FeedTask,
    private val authority: PeerAuthenticator,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, PATH, authority.guard { withdraw(it) }))

    private suspend fun withdraw(request: HttpRequest): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(WithdrawalBody.serializer(), request.body)
            } catch (e: IllegalArgumentException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
            }
        feed.withdraw(body.keyNames)
        return HttpReply(status = 200, body = PeerJson.encodeToString(DaemonName.serializer(), DaemonName(settings.vm, settings.zone)))
    }

    internal companion object {
        const val PATH = "/internal/keys/withdraw"
    }
}
