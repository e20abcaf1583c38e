package org.buckthornhub.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.KSerializer
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.owner.InstanceProgress
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.ConnectResponse
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault
import org.buckthornhub.target.wire.WireAction

/** Driver for stand-in targets, over HTTP with JSON. */
internal class HttpTargetDriver(
    private val target: TargetEntry,
    private val link: HttpLink,
) : TargetDriver {
    override suspend fun connect(timeoutMillis: Long): Result<String, ConnectFailure> {
        val reply = link.post("/connections", "{}", timeoutMillis).getOrElse { return Err(ConnectFailure(isRefused = false, it.detail)) }
        if (reply.status == STATUS_CONFLICT) return Err(ConnectFailure(isRefused = true, "target ${target.target} has no free slot"))
        return decode(ConnectResponse.serializer(), reply, Access.READ).mapBoth(
            success = { Ok(it.connection) },
            failure = { Err(ConnectFailure(isRefused = false, it.detail)) },
        )
    }

    override suspend fun progress(timeoutMillis: Long): InstanceProgress? {
        val reply = link.get("/status", timeoutMillis).get() ?: return null
        val status = decode(Announcement.serializer(), reply, Access.READ).get() ?: return null
        return InstanceProgress(status.target, status.role, status.term, status.received, status.applied)
    }

    override suspend fun execute(connection: String, call: TargetCall, timeoutMillis: Long): Result<Answer, ProxyError> {
        val request = requestOf(call)
        val access = if (request.action == WireAction.READ) Access.READ else Access.WRITE
        val body = PeerJson.encodeToString(ExecuteRequest.serializer(), request)
        val reply = link.post("/connections/$connection/execute", body, timeoutMillis).getOrElse { return Err(errorOf(it, access)) }
        val response = decode(ExecuteResponse.serializer(), reply, access).getOrElse { return Err(it) }
        if (response.requestId != request.requestId) return Err(answerLost(access, "the target answered a different request"))
        return Ok(answerOf(response))
    }

    override suspend fun ping(connection: String, timeoutMillis: Long): Boolean =
        link.post("/connections/$connection/ping", "{}", timeoutMillis).get()?.isSuccess ?: false

    override suspend fun disconnect(connection: String) {
        link.post("/connections/$connection/close", "{}", CLOSE_TIMEOUT_MILLIS)
    }

    override fun close(): Unit = link.close()

    private fun requestOf(call: TargetCall): ExecuteRequest {
        val id = wireIdOf(call)
        return when (val operation = call.operation) {
            is Operation.Run -> ExecuteRequest(id, actionOf(operation.statement), operation.statement.text)
            is Operation.RunInTransaction -> ExecuteRequest(id, actionOf(operation.statement), operation.statement.text)
            is Operation.Begin -> ExecuteRequest(id, WireAction.BEGIN)
            is Operation.Commit -> ExecuteRequest(id, WireAction.COMMIT)
            is Operation.RollBack -> ExecuteRequest(id, WireAction.ROLL_BACK)
        }
    }

    // Callers choose the ids, so the ids of two organisations may be equal.
    private fun wireIdOf(call: TargetCall) = "${call.organisation?.value.orEmpty()}/${call.requestId}"

    private fun actionOf(statement: Statement) = if (statement.access == Access.READ) WireAction.READ else WireAction.WRITE

    private fun answerOf(response: ExecuteResponse): Answer = Answer(
        value = response.value,
        position = Position(Term(response.term), LogPosition(response.position)),
        target = target.target,
        fromReplica = target.role == TargetRole.REPLICA,
    )

    private fun <T> decode(serializer: KSerializer<T>, reply: HttpReply, access: Access): Result<T, ProxyError> = try {
        if (reply.isSuccess) {
            Ok(PeerJson.decodeFromString(serializer, reply.body))
        } else {
            Err(errorOf(PeerJson.decodeFromString(TargetFault.serializer(), reply.body)))
        }
    } catch (e: IllegalArgumentException) {
        Err(answerLost(access, "the answer of ${target.target} could not be decoded: ${e.message}"))
    }

    private fun errorOf(fault: TargetFault): ProxyError {
        val kind =
            when (fault.code) {
                TargetFault.Code.NO_FREE_SLOT -> ErrorKind.NO_TARGET
                TargetFault.Code.NO_SUCH_CONNECTION -> ErrorKind.NO_TARGET
                TargetFault.Code.NOT_PRIMARY, TargetFault.Code.STALE_TERM -> ErrorKind.NO_PRIMARY
                TargetFault.Code.STATEMENT_INVALID, TargetFault.Code.REJECTED -> ErrorKind.STATEMENT_REJECTED
                TargetFault.Code.ALREADY_APPLIED -> ErrorKind.ALREADY_RAN
                TargetFault.Code.TRANSACTION_STATE -> ErrorKind.TRANSACTION_ABORTED
            }
        return ProxyError(kind, fault.detail)
    }

    private fun errorOf(failure: HttpFailure, access: Access): ProxyError =
        if (failure.sent) answerLost(access, failure.detail) else ProxyError(ErrorKind.NO_TARGET, failure.detail)

    private fun answerLost(access: Access, detail: String): ProxyError =
        ProxyError(if (access == Access.READ) ErrorKind.ANSWER_LOST else ErrorKind.OUTCOME_UNKNOWN, detail)

    private companion object {
        const val CLOSE_TIMEOUT_MILLIS = 1_000L
        const val STATUS_CONFLICT = 409
    }
}
