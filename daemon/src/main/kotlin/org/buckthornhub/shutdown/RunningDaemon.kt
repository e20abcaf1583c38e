package org.buckthornhub.shutdown

import org.buckthornhub.http.HttpServer

/** A daemon that listens, and how to stop it as planned. */
internal class RunningDaemon(
    private val shutdown: ShutdownTask,
    private val server: HttpServer,
) {
    /** Hands over, waits for requests in flight, and stops listening. */
    suspend fun stop() {
        shutdown.leave()
        server.stop(CLOSE_MILLIS)
    }

    private companion object {
        // Nothing is in flight any more; this closes the connections that wait for a next request.
        const val CLOSE_MILLIS = 100L
    }
}
