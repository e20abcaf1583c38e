package org.buckthornhub.shutdown

import org.buckthornhub.http.HttpServer

/** A started daemon, which can be shut down gracefully. */
internal class RunningDaemon(
    private val shutdown: ShutdownTask,
    private val server: HttpServer,
) {
    /** Runs the graceful shutdown, then stops the HTTP server. */
    suspend fun stop() {
        shutdown.shutDown()
        server.stop(CLOSE_MILLIS)
    }

    private companion object {
        // No request is in flight any more; the time is for closing idle keep-alive connections, in ms.
        const val CLOSE_MILLIS = 100L
    }
}
