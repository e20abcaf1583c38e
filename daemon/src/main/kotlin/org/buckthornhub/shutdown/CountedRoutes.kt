package org.buckthornhub.shutdown

import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.task.Mailbox

/** Counts the in-flight requests of callers, and closes their connections after the reply while the daemon shuts down. */
internal class CountedRoutes(
    private val shutdown: Mailbox<ShutdownMessage>,
    private val isReady: () -> Boolean,
) {
    fun wrap(routes: List<Route>): List<Route> = routes.map { Route(it.method, it.path, counted(it.handler)) }

    private fun counted(handler: RouteHandler) = RouteHandler { request ->
        shutdown.offer(ShutdownMessage.RequestStarted)
        try {
            handler.handle(request).let { if (isReady()) it else withConnectionClose(it) }
        } finally {
            shutdown.offer(ShutdownMessage.RequestEnded)
        }
    }

    private fun withConnectionClose(reply: HttpReply) = reply.copy(headers = reply.headers + ("Connection" to "close"))
}
