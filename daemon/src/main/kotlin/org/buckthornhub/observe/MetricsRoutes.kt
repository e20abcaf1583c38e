package org.buckthornhub.observe

import io.ktor.http.HttpMethod
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.Route
import java.io.ByteArrayOutputStream

/** `GET /metrics` in the Prometheus text format. */
internal class MetricsRoutes(private val registry: PrometheusRegistry) {
    private val writer = PrometheusTextFormatWriter.create()

    fun routes(): List<Route> = listOf(Route(HttpMethod.Get, "/metrics") { metrics() })

    private fun metrics(): HttpReply {
        val text = ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toString(Charsets.UTF_8)
        return HttpReply(OK, text, mapOf("Content-Type" to writer.contentType))
    }

    private companion object {
        const val OK = 200
    }
}
