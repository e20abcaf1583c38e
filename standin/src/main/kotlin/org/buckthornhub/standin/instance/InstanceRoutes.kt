package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.serializer
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.ConnectResponse
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.PromoteRequest
import org.buckthornhub.target.wire.TargetFault

/** The HTTP interface of one instance. */
internal class InstanceRoutes(
    private val task: InstanceTask,
    private val connectMillis: Long,
    private val announcement: () -> Announcement,
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Get, "/status") { HttpReply(STATUS_OK, PeerJson.encodeToString(Announcement.serializer(), announcement())) },
        Route(HttpMethod.Post, "/connections") { connect() },
        Route(HttpMethod.Post, "/connections/{id}/execute") { execute(it) },
        Route(HttpMethod.Post, "/connections/{id}/close") { close(it) },
        Route(HttpMethod.Post, "/promote") { promote(it) },
    )

    private suspend fun connect(): HttpReply {
        delay(connectMillis)
        val result = ask { InstanceMessage.Connect(it) }
        return reply(result.map { ConnectResponse(it) }, ConnectResponse.serializer())
    }

    private suspend fun execute(request: HttpRequest): HttpReply = withBody(request, ExecuteRequest.serializer()) { body ->
        reply(ask { InstanceMessage.Execute(request.pathParts.getValue("id"), body, it) }, ExecuteResponse.serializer())
    }

    private fun close(request: HttpRequest): HttpReply {
        task.offer(InstanceMessage.Disconnect(request.pathParts.getValue("id")))
        return HttpReply(STATUS_OK, "{}")
    }

    private suspend fun promote(request: HttpRequest): HttpReply = withBody(request, PromoteRequest.serializer()) { body ->
        reply(ask { InstanceMessage.Promote(body.term, it) }, Unit.serializer())
    }

    private suspend fun <T> ask(message: (CompletableDeferred<Result<T, TargetFault>>) -> InstanceMessage): Result<T, TargetFault> {
        val answer = CompletableDeferred<Result<T, TargetFault>>()
        check(task.offer(message(answer))) { "the mailbox of ${task.name} is full" }
        return answer.await()
    }

    private suspend fun <T> withBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> HttpReply): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(serializer, request.body)
            } catch (e: SerializationException) {
                return faultReply(TargetFault(TargetFault.Code.STATEMENT_INVALID, "the body is not valid: ${e.message}"))
            }
        return action(body)
    }

    private fun <T> reply(result: Result<T, TargetFault>, serializer: KSerializer<T>): HttpReply = result.mapBoth(
        success = { HttpReply(STATUS_OK, PeerJson.encodeToString(serializer, it)) },
        failure = { faultReply(it) },
    )

    private fun faultReply(fault: TargetFault) = HttpReply(STATUS_CONFLICT, PeerJson.encodeToString(TargetFault.serializer(), fault))

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409
    }
}
