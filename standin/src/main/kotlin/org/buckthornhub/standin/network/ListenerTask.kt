package org.buckthornhub.standin.network

import org.buckthornhub.http.HttpServer
import org.buckthornhub.task.Task

/** Owns the HTTP server of one instance; a killed instance has no server. */
internal class ListenerTask(
    name: String,
    private val newServer: () -> HttpServer,
) : Task<Boolean>(name) {
    private var server: HttpServer? = null

    /** Opens the port on true; closes it and all connections on false. */
    override suspend fun handle(message: Boolean) {
        val open = server
        when {
            message && open == null -> server = newServer().also { it.start() }
            !message && open != null -> {
                server = null
                open.stop(graceMillis = 0)
            }
        }
    }
}
