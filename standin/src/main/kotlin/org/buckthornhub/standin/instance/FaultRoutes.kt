package org.buckthornhub.standin.instance

import io.ktor.http.HttpMethod
import kotlinx.serialization.builtins.serializer
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.standin.fault.Fault
import org.buckthornhub.target.wire.LogBody

/**
 * HTTP routes with which tests inject faults into an instance and read its log. Network faults do not affect them.
 *
 * @param prefix path prefix of each route
 */
internal class FaultRoutes(
    private val group: GroupId,
    private val client: InstanceClient,
    private val prefix: String = "",
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, "$prefix/faults") { inject(it) },
        Route(HttpMethod.Get, "$prefix/log") { client.reply(client.current().logBody(group), LogBody.serializer()) },
    )

    private suspend fun inject(request: HttpRequest): HttpReply = client.withBody(request, Fault.serializer()) { fault ->
        client.reply(client.ask { InstanceMessage.Inject(fault, it) }, Unit.serializer())
    }
}
