package org.buckthornhub.shutdown

import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.task.Mailbox

/** Counts the requests of callers in flight, and asks callers on a daemon that leaves to connect again. */
internal class CountedRoutes(
    private val shutdown: Mailbox<ShutdownMessage>,
    private val isReady: () -> Boolean,
) {
    fun of(routes: List<Route>): List<Route> = routes.map { Route(it.method, it.path, counted(it.handler)) }

    private fun counted(handler: RouteHandler) = RouteHandler { request ->
        shutdown.offer(ShutdownMessage.RequestStarted)
        try {
            handler.handle(request).let { if (isReady()) it else closing(it) }
        } finally {
            shutdown.offer(ShutdownMessage.RequestEnded)
        }
    }

    private fun closing(reply: HttpReply) = reply.copy(headers = reply.headers + ("Connection" to "close"))
}
