package org.buckthornhub.control

import io.ktor.http.HttpMethod
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.WireJson

/** HTTP routes with which operators start, end and show the evacuation of a zone. */
internal class EvacuationRoutes(private val service: EvacuationService) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Put, PATH) { order(it, isEvacuated = true) },
        Route(HttpMethod.Delete, PATH) { order(it, isEvacuated = false) },
        Route(HttpMethod.Get, PATH) { show(it) },
    )

    private suspend fun order(request: HttpRequest, isEvacuated: Boolean): HttpReply {
        val zone = zoneOf(request)
        return replyTo(zone, service.order(zone, isEvacuated), EvacuationBody(zone.value, isEvacuated))
    }

    private suspend fun show(request: HttpRequest): HttpReply {
        val zone = zoneOf(request)
        val error = Evacuations.errorIn(zone)
        val result = if (error == null) service.current() else EvacuationResult.Invalid(error)
        return replyTo(zone, result, EvacuationBody(zone.value, evacuated = false))
    }

    private fun replyTo(zone: ZoneId, result: EvacuationResult, accepted: EvacuationBody): HttpReply = when (result) {
        is EvacuationResult.Accepted -> reply(accepted)
        is EvacuationResult.Current -> {
            val zones = result.evacuations.zones
            reply(EvacuationBody(zone.value, zone in zones, zones.map { it.value }.sorted(), result.evacuations.revision))
        }
        is EvacuationResult.Invalid -> errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, result.detail))
        is EvacuationResult.Refused -> errorReply(ProxyError(ErrorKind.LIST_INVALID, result.detail))
        is EvacuationResult.Unavailable -> errorReply(ProxyError(ErrorKind.NO_QUORUM, result.detail))
    }

    private fun reply(body: EvacuationBody) = HttpReply(status = 200, WireJson.encodeToString(EvacuationBody.serializer(), body))

    private fun zoneOf(request: HttpRequest) = ZoneId(request.pathParts["zone"].orEmpty())

    private companion object {
        const val PATH = "/v1/evacuations/{zone}"
    }
}
