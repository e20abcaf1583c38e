package org.buckthornhub.standin.network

import kotlinx.coroutines.delay
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.standin.fault.Faults

/**
 * Simulated network in front of one instance: adds the delay between zones and drops requests and answers during faults.
 *
 * @param betweenZonesMillis one-way delay between zones; callers send their zone in the header `X-Zone`
 */
internal class NetworkGate(
    private val zone: ZoneId,
    private val betweenZonesMillis: Long,
    private val faults: () -> Faults,
) {
    fun wrap(route: Route): Route = Route(route.method, route.path) { transmit(it, route.handler) }

    private suspend fun transmit(request: HttpRequest, handler: RouteHandler): HttpReply {
        val caller = request.headers[ZONE_HEADER]?.let { ZoneId(it) }
        val oneWayMillis = if (caller == null || caller == zone) 0 else betweenZonesMillis
        if (!faults().answers(caller)) return noAnswer()
        delay(oneWayMillis)
        val reply = handler.handle(request)
        delay(oneWayMillis)
        return if (faults().answers(caller)) reply else noAnswer()
    }

    companion object {
        private const val ZONE_HEADER = "x-zone"
        private const val SILENCE_MILLIS = 120_000L
        private const val STATUS_GATEWAY_TIMEOUT = 504

        /** Answers only after a delay that exceeds the timeout of every caller. */
        suspend fun noAnswer(): HttpReply {
            delay(SILENCE_MILLIS)
            return HttpReply(STATUS_GATEWAY_TIMEOUT, "{}")
        }
    }
}
