package org.buckthornhub.liveness

import io.ktor.http.HttpMethod
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.Route

/** Liveness and readiness probes for the platform and its load balancer. */
internal class LivenessRoutes(private val isReady: () -> Boolean) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Get, "/live") { HttpReply(OK, "{\"live\":true}") },
        Route(HttpMethod.Get, "/ready") { ready() },
    )

    private fun ready(): HttpReply = if (isReady()) HttpReply(OK, "{\"ready\":true}") else HttpReply(UNAVAILABLE, "{\"ready\":false}")

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
