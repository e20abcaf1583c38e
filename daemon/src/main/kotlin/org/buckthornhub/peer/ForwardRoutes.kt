package org.buckthornhub.peer

import io.ktor.http.HttpMethod
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.errorReply
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.target.TargetGateway

/** Takes calls that other daemons forward to the owners in this one. */
internal class ForwardRoutes(
    private val own: TargetGateway,
    private val authority: PeerAuthority,
    private val clock: Clock,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, PATH, authority.guard { execute(it) }))

    private suspend fun execute(request: HttpRequest): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(ForwardBody.serializer(), request.body)
            } catch (e: SerializationException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, "not a forwarded call: ${e.message}"))
            }
        val reply = ForwardReply.of(body.requestId, own.execute(body.toCall(clock.nowMillis())))
        return HttpReply(STATUS_OK, PeerJson.encodeToString(ForwardReply.serializer(), reply))
    }

    companion object {
        /** Where owners take forwarded calls. */
        const val PATH = "/internal/execute"
        private const val STATUS_OK = 200
    }
}
