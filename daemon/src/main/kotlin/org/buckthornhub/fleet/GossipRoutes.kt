package org.buckthornhub.fleet

import com.github.michaelbull.result.get
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.withPeerBody
import org.buckthornhub.task.Mailbox

/** Answers the probes of other daemons, and relays probes to daemons that the sender can't reach. */
internal class GossipRoutes(
    private val fleet: Mailbox<FleetMessage>,
    private val authority: PeerAuthenticator,
    private val links: HttpLink.Factory,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, PROBE_PATH, authority.guard { request -> withPeerBody(request, GossipBody.serializer()) { answer(it) } }),
        Route(HttpMethod.Post, RELAY_PATH, authority.guard { request -> withPeerBody(request, RelayBody.serializer()) { relay(it) } }),
    )

    private suspend fun answer(body: GossipBody): HttpReply {
        val answer = CompletableDeferred<GossipBody>()
        if (!fleet.offer(FleetMessage.Received(body) { answer.complete(it) })) return unavailable
        return HttpReply(OK, PeerJson.encodeToString(GossipBody.serializer(), answer.await()))
    }

    private suspend fun relay(body: RelayBody): HttpReply = links.open(body.address).use { link ->
        val probe = PeerJson.encodeToString(GossipBody.serializer(), body.body)
        link.post(PROBE_PATH, probe, TIMEOUT_MILLIS, authority.headers()).get() ?: unavailable
    }

    companion object {
        const val PROBE_PATH = "/internal/gossip"
        const val RELAY_PATH = "/internal/gossip/relay"
        private const val OK = 200
        private const val TIMEOUT_MILLIS = 300L
        private val unavailable = errorReply(ProxyError(ErrorKind.NO_TARGET, "the daemon did not reply to the probe"))
    }
}
