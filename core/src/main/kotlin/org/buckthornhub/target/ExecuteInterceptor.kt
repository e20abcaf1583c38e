package org.buckthornhub.target

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.proxy.Call
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.routing.PositionHintSource
import org.buckthornhub.routing.PositionMessage
import org.buckthornhub.session.SessionPolicy
import org.buckthornhub.statement.Answer

/** Last interceptor of the chain: runs the operation on the chosen target and advances the session by the answer. */
public class ExecuteInterceptor(
    private val gateway: TargetGateway,
    private val hints: PositionHintSource = PositionHintSource.NONE,
    private val sessions: SessionPolicy = SessionPolicy(),
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val targetCall = targetCall(call)
        val result = gateway.execute(targetCall)
        recordPosition(targetCall, result)
        return result
            .map { ProxyResponse(it, sessions.advance(call.session, call.request.operation, it)) }
            .mapError {
                if (it.kind ==
                    ErrorKind.OUTCOME_UNKNOWN
                ) {
                    it.copy(session = call.session.withUncertainWrite(call.request.operation.group))
                } else {
                    it
                }
            }
    }

    private fun recordPosition(call: TargetCall, result: Result<Answer, ProxyError>) {
        val group = call.operation.group
        val answer = result.get()
        val replicaPosition = result.getError()?.position
        when {
            answer != null && answer.fromReplica -> hints.observe(PositionMessage.Applied(group, answer.target, answer.position))
            answer != null -> hints.observe(PositionMessage.Written(group, answer.position))
            replicaPosition != null -> hints.observe(PositionMessage.Applied(group, call.target, replicaPosition))
        }
    }

    private fun targetCall(call: Call): TargetCall = TargetCall(
        target = checkNotNull(call.target) { "no earlier interceptor chose a target for the call" },
        operation = call.request.operation,
        requestId = call.request.requestId,
        organisation = call.organisation,
        position = sessions.requiredPosition(call.session, call.request.operation),
        deadlineMillis = call.request.deadlineMillis,
        traceParent = call.request.traceParent,
        waitMillis = call.waitMillis,
    )
}
