package org.buckthornhub.peer

import io.ktor.http.HttpMethod
import kotlinx.serialization.KSerializer
import org.buckthornhub.caller.errorReply
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.target.GatewayTask
import org.buckthornhub.target.SampleAges

/** Executes calls that other daemons forward to the target owners in this daemon. */
internal class ForwardRoutes(
    private val own: GatewayTask,
    private val authority: PeerAuthenticator,
    private val clock: Clock,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, PATH, authority.guard { execute(it) }),
        Route(HttpMethod.Post, SAMPLES_PATH, authority.guard { samples(it) }),
    )

    private suspend fun execute(request: HttpRequest): HttpReply = withBody(request, ForwardBody.serializer()) { body ->
        val reply = ForwardReply.of(body.requestId, own.execute(body.toCall(clock.nowMillis())))
        PeerJson.encodeToString(ForwardReply.serializer(), reply)
    }

    private suspend fun samples(request: HttpRequest): HttpReply = withBody(request, SampleBody.serializer()) { body ->
        PeerJson.encodeToString(SampleAges.serializer(), own.samples(body))
    }

    private suspend fun <T> withBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> String): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(serializer, request.body)
            } catch (e: IllegalArgumentException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, "invalid request body: ${e.message}"))
            }
        return HttpReply(STATUS_OK, action(body))
    }

    companion object {
        /** Path of forwarded calls. */
        const val PATH = "/internal/execute"

        /** Path of requests for the commit samples of a primary. */
        const val SAMPLES_PATH = "/internal/samples"
        private const val STATUS_OK = 200
    }
}
