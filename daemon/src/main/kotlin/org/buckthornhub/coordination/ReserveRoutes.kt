package org.buckthornhub.coordination

import io.ktor.http.HttpMethod
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.withPeerBody

/** Grants tokens from the reserve to daemons that have used up their share of a limit. */
internal class ReserveRoutes(private val reserve: ReserveTask) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, PATH) { answer(it) })

    private suspend fun answer(request: HttpRequest): HttpReply = withPeerBody(request, ReserveRequest.serializer()) {
        HttpReply(status = 200, body = PeerJson.encodeToString(ReserveGrant.serializer(), reserve.grant(it)))
    }

    internal companion object {
        const val PATH = "/internal/proxy/reserve"
    }
}
