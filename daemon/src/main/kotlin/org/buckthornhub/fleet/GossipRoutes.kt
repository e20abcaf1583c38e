package org.buckthornhub.fleet

import com.github.michaelbull.result.get
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.task.Mailbox

/** Takes the probes of other daemons, and passes on those for daemons that they can't reach. */
internal class GossipRoutes(
    private val fleet: Mailbox<FleetMessage>,
    private val authority: PeerAuthority,
    private val links: HttpLink.Factory,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, PROBE_PATH, authority.guard { request -> withBody(request, GossipBody.serializer()) { probed(it) } }),
        Route(HttpMethod.Post, RELAY_PATH, authority.guard { request -> withBody(request, RelayBody.serializer()) { relay(it) } }),
    )

    private suspend fun probed(body: GossipBody): HttpReply {
        val answer = CompletableDeferred<GossipBody>()
        if (!fleet.offer(FleetMessage.Received(body) { answer.complete(it) })) return unavailable
        return HttpReply(OK, PeerJson.encodeToString(GossipBody.serializer(), answer.await()))
    }

    private suspend fun relay(body: RelayBody): HttpReply = links.open(body.address).use { link ->
        val probe = PeerJson.encodeToString(GossipBody.serializer(), body.body)
        link.post(PROBE_PATH, probe, TIMEOUT_MILLIS, authority.headers()).get() ?: unavailable
    }

    private suspend fun <T> withBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> HttpReply): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(serializer, request.body)
            } catch (e: SerializationException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
            }
        return action(body)
    }

    companion object {
        const val PROBE_PATH = "/internal/gossip"
        const val RELAY_PATH = "/internal/gossip/relay"
        private const val OK = 200
        private const val TIMEOUT_MILLIS = 300L
        private val unavailable = errorReply(ProxyError(ErrorKind.NO_TARGET, "the daemon did not answer the probe"))
    }
}
