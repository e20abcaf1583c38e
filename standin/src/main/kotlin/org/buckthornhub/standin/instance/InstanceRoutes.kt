package org.buckthornhub.standin.instance

import com.github.michaelbull.result.map
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.builtins.serializer
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.standin.network.NetworkGate
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.ConnectResponse
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.FollowRequest
import org.buckthornhub.target.wire.PromoteRequest

/**
 * HTTP routes with which daemons access one instance.
 *
 * @param targetAt returns the instance at an address of the group. For an unknown address it returns an empty id; the replica then
 *     receives entries only once a primary sends them
 */
internal class InstanceRoutes(
    private val group: GroupId,
    private val address: String,
    private val connectMillis: Long,
    private val client: InstanceClient,
    private val targetAt: (String) -> TargetId,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Get, "/status") { client.reply(client.current().announcement(group, address), Announcement.serializer()) },
        Route(HttpMethod.Post, "/connections") { connect() },
        Route(HttpMethod.Post, "/connections/{id}/execute") { execute(it) },
        Route(HttpMethod.Post, "/connections/{id}/ping") { ping(it) },
        Route(HttpMethod.Post, "/connections/{id}/close") { close(it) },
        Route(HttpMethod.Post, "/promote") { promote(it) },
        Route(HttpMethod.Post, "/follow") { follow(it) },
    )

    private suspend fun connect(): HttpReply {
        delay(connectMillis)
        val result = client.ask { InstanceMessage.Connect(it) }
        return client.reply(result.map { ConnectResponse(it) }, ConnectResponse.serializer())
    }

    private suspend fun execute(request: HttpRequest): HttpReply = client.withBody(request, ExecuteRequest.serializer()) { body ->
        val connection = connectionOf(request)
        if (isSilent(connection)) return@withBody NetworkGate.noAnswer()
        delay(client.current().faults.statementMillis)
        val result = client.ask { InstanceMessage.Execute(connection, body, it) }
        delay(client.current().faults.answerMillis)
        client.reply(result, ExecuteResponse.serializer())
    }

    private suspend fun ping(request: HttpRequest): HttpReply {
        val connection = connectionOf(request)
        if (isSilent(connection)) return NetworkGate.noAnswer()
        return client.reply(client.ask { InstanceMessage.Touch(connection, it) }, Unit.serializer())
    }

    private suspend fun close(request: HttpRequest): HttpReply {
        val connection = connectionOf(request)
        if (isSilent(connection)) return NetworkGate.noAnswer()
        client.tell(InstanceMessage.Disconnect(connection))
        return client.reply(Unit, Unit.serializer())
    }

    private suspend fun promote(request: HttpRequest): HttpReply = client.withBody(request, PromoteRequest.serializer()) { body ->
        client.reply(client.ask { InstanceMessage.Promote(body.term, it) }, Unit.serializer())
    }

    private suspend fun follow(request: HttpRequest): HttpReply = client.withBody(request, FollowRequest.serializer()) { body ->
        client.reply(client.ask { InstanceMessage.Follow(body.term, targetAt(body.primaryAddress), it) }, Unit.serializer())
    }

    private fun connectionOf(request: HttpRequest): String = request.pathParts.getValue("id")

    private fun isSilent(connection: String): Boolean {
        val state = client.current()
        val number = state.connections[connection]?.number ?: return false
        return number < state.faults.silentConnectionsBelow
    }
}
