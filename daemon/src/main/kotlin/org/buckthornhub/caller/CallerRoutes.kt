package org.buckthornhub.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.serialization.KSerializer
import org.buckthornhub.caller.wire.AnswerBody
import org.buckthornhub.caller.wire.StatementBody
import org.buckthornhub.caller.wire.TransactionBody
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.proxy.TraceContext
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.statement.TransactionId

/** Routes of the HTTP interface of callers: decode requests for [Proxy] and encode its responses, without any decisions of their own. */
internal class CallerRoutes(
    private val proxy: Proxy,
    private val sessionCodec: SessionCodec,
    private val clock: Clock,
    private val defaultDeadlineMillis: Long,
    private val traces: TraceContexts = TraceContexts(samplePercent = 0),
) {
    fun routes(): List<Route> = listOf(
        Route(HttpMethod.Post, "/v1/statements") { run(it) },
        Route(HttpMethod.Post, "/v1/transactions") { inTransaction(it) { body -> Operation.Begin(body.group) } },
        Route(HttpMethod.Post, "/v1/transactions/{id}/statements") { runInTransaction(it) },
        Route(HttpMethod.Post, "/v1/transactions/{id}/commit") { request ->
            inTransaction(request) { Operation.Commit(it.group, transactionOf(request)) }
        },
        Route(HttpMethod.Post, "/v1/transactions/{id}/rollback") { request ->
            inTransaction(request) { Operation.RollBack(it.group, transactionOf(request)) }
        },
    )

    private suspend fun run(request: HttpRequest): HttpReply {
        val body = decode(StatementBody.serializer(), request).getOrElse { return errorReply(it) }
        return execute(request, body.session, body.deadlineMillis, body.requestId, Operation.Run(statementOf(body)))
    }

    private suspend fun runInTransaction(request: HttpRequest): HttpReply {
        val body = decode(StatementBody.serializer(), request).getOrElse { return errorReply(it) }
        val operation = Operation.RunInTransaction(transactionOf(request), statementOf(body))
        return execute(request, body.session, body.deadlineMillis, body.requestId, operation)
    }

    private suspend fun inTransaction(request: HttpRequest, operation: (TransactionBody) -> Operation): HttpReply {
        val body = decode(TransactionBody.serializer(), request).getOrElse { return errorReply(it) }
        return execute(request, body.session, body.deadlineMillis, body.requestId, operation(body))
    }

    private suspend fun execute(
        request: HttpRequest,
        session: String?,
        deadlineMillis: Long?,
        requestId: RequestId,
        operation: Operation,
    ): HttpReply {
        val caller = TraceContext.parse(request.headers["traceparent"])
        val trace = traces.next(caller)
        val proxyRequest =
            ProxyRequest(
                key = keyOf(request),
                sessionToken = session,
                operation = operation,
                requestId = requestId,
                deadlineMillis = clock.nowMillis() + (deadlineMillis ?: defaultDeadlineMillis),
                traceParent = trace.toHeader(),
                callerSpan = caller?.spanId,
            )
        val reply =
            proxy.execute(proxyRequest).mapBoth(
                success = { answerReply(it, trace.traceId) },
                failure = { failureReply(it, trace.traceId) },
            )
        return reply.copy(headers = reply.headers + ("traceresponse" to trace.toHeader()))
    }

    private fun failureReply(error: ProxyError, traceId: String): HttpReply =
        errorReply(error, traceId, session = error.session?.let { sessionCodec.encode(it) })

    private fun answerReply(response: ProxyResponse, traceId: String): HttpReply {
        val answer = response.answer
        val body =
            AnswerBody(
                value = answer.value,
                session = sessionCodec.encode(response.session),
                target = answer.target,
                fromReplica = answer.fromReplica,
                transaction = answer.transaction,
                traceId = traceId,
            )
        return HttpReply(status = 200, body = WireJson.encodeToString(AnswerBody.serializer(), body))
    }

    private fun statementOf(body: StatementBody): Statement = Statement(
        group = body.group,
        access = body.access,
        text = body.text,
        repeatable = body.repeatable,
        acceptedAgeMillis = body.acceptedAgeMillis,
    )

    private fun transactionOf(request: HttpRequest) = TransactionId(request.pathParts.getValue("id"))

    private fun keyOf(request: HttpRequest): ApiKey? = request.headers["authorization"]
        ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
        ?.let { ApiKey(it.substring(BEARER.length).trim()) }

    private fun <T> decode(serializer: KSerializer<T>, request: HttpRequest): Result<T, ProxyError> = try {
        Ok(WireJson.decodeFromString(serializer, request.body))
    } catch (e: IllegalArgumentException) {
        Err(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
    }

    private companion object {
        const val BEARER = "Bearer "
    }
}
