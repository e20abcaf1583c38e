package org.buckthornhub.fleet

import io.ktor.http.HttpMethod
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.task.Mailbox

/** Accepts the announcements of targets. */
internal class AnnounceRoutes(private val fleet: Mailbox<FleetMessage>) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Post, "/targets/announce") { announce(it) })

    private fun announce(request: HttpRequest): HttpReply {
        val announcement =
            try {
                PeerJson.decodeFromString(Announcement.serializer(), request.body)
            } catch (e: IllegalArgumentException) {
                return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, "invalid announcement: ${e.message}"))
            }
        fleet.offer(FleetMessage.Announced(announcement.toEntry(nowMillis = 0)))
        return HttpReply(status = 200, body = "{}")
    }
}
