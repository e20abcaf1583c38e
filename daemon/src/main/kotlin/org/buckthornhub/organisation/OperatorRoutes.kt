package org.buckthornhub.organisation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.buckthornhub.caller.errorReply
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlCommands
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.wire.ChangeAnswer
import org.buckthornhub.organisation.wire.GiveKeyBody
import org.buckthornhub.organisation.wire.GrantsBody
import org.buckthornhub.organisation.wire.PlansBody

/** Routes for operators, on every daemon: plans, grants and keys. */
internal class OperatorRoutes(
    private val secret: String?,
    private val configuration: StateSource<Configuration>,
    private val commands: ControlCommands,
    private val broadcast: WithdrawalBroadcast,
) {
    fun routes(): List<Route> = listOf(
        route(HttpMethod.Get, "plans") { reply(PlanList.serializer(), configuration.current().plans) },
        route(HttpMethod.Post, "plans") { request ->
            change(request, PlansBody.serializer()) { ControlCommand.ChangePlans(it.changeId, it.list) }
        },
        route(HttpMethod.Get, "grants") { reply(GrantList.serializer(), configuration.current().grants) },
        route(HttpMethod.Post, "grants") { request ->
            change(request, GrantsBody.serializer()) { ControlCommand.ChangeGrants(it.changeId, it.list) }
        },
        route(HttpMethod.Get, "keys") {
            reply(ListSerializer(KeyRecord.serializer()), configuration.current().keys.values.sortedBy { it.keyName })
        },
        route(HttpMethod.Post, "keys") { request ->
            change(request, GiveKeyBody.serializer()) { ControlCommand.GiveKey(it.changeId, it.keyName, it.organisation, it.digest) }
        },
        route(HttpMethod.Post, "keys/{name}/withdraw") { withdraw(it) },
    )

    private fun route(method: HttpMethod, path: String, handler: RouteHandler) =
        Route(method, "/v1/operator/$path", OperatorAuthority(secret).guard(handler))

    private suspend fun <T> change(request: HttpRequest, serializer: KSerializer<T>, commandOf: (T) -> ControlCommand): HttpReply {
        val body = decode(serializer, request).getOrElse { return errorReply(it) }
        return commands.commit(commandOf(body)).mapBoth(success = { outcomeReply(it) }, failure = { errorReply(it) })
    }

    private suspend fun withdraw(request: HttpRequest): HttpReply = broadcast
        .withdraw(request.pathParts.getValue("name"))
        .mapBoth(success = { reply(WithdrawalReport.serializer(), it) }, failure = { errorReply(it) })

    private fun outcomeReply(outcome: CommandOutcome): HttpReply = when (outcome) {
        is CommandOutcome.Accepted -> reply(ChangeAnswer.serializer(), ChangeAnswer(outcome.revision))
        is CommandOutcome.Conflict -> errorReply(ProxyError(ErrorKind.LIST_CONFLICT, outcome.winner))
        is CommandOutcome.Invalid -> errorReply(ProxyError(ErrorKind.LIST_INVALID, outcome.faults.joinToString("; ")))
    }

    private fun <T> reply(serializer: KSerializer<T>, body: T) = HttpReply(status = 200, body = WireJson.encodeToString(serializer, body))

    private fun <T> decode(serializer: KSerializer<T>, request: HttpRequest): Result<T, ProxyError> = try {
        Ok(WireJson.decodeFromString(serializer, request.body))
    } catch (e: IllegalArgumentException) {
        Err(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
    }
}
