package org.buckthornhub.standin.network

import kotlinx.coroutines.delay
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.standin.fault.Faults

/**
 * The network in front of one instance: delays between zones, and faults that lose requests or answers.
 *
 * @param betweenZonesMillis one way; callers name their zone in the header `X-Zone`
 */
internal class NetworkGate(
    private val zone: ZoneId,
    private val betweenZonesMillis: Long,
    private val faults: () -> Faults,
) {
    fun wrap(route: Route): Route = Route(route.method, route.path) { carry(it, route.handler) }

    private suspend fun carry(request: HttpRequest, handler: RouteHandler): HttpReply {
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

        /** Says nothing for longer than any caller waits. */
        suspend fun noAnswer(): HttpReply {
            delay(SILENCE_MILLIS)
            return HttpReply(STATUS_GATEWAY_TIMEOUT, "{}")
        }
    }
}
