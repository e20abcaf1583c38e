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

/** Ends the chain: has the chosen target run the operation, and moves the session on. */
public class ExecuteInterceptor(
    private val gateway: TargetGateway,
    private val hints: PositionHintSource = PositionHintSource.NONE,
    private val sessions: SessionPolicy = SessionPolicy(),
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val targetCall = targetCall(call)
        val result = gateway.execute(targetCall)
        learn(targetCall, result)
        return result
            .map { ProxyResponse(it, sessions.after(call.session, call.request.operation, it)) }
            .mapError {
                if (it.kind ==
                    ErrorKind.OUTCOME_UNKNOWN
                ) {
                    it.copy(session = call.session.uncertainIn(call.request.operation.group))
                } else {
                    it
                }
            }
    }

    private fun learn(call: TargetCall, result: Result<Answer, ProxyError>) {
        val group = call.operation.group
        val answer = result.get()
        val behind = result.getError()?.position
        when {
            answer != null && answer.fromReplica -> hints.learn(PositionMessage.Applied(group, answer.target, answer.position))
            answer != null -> hints.learn(PositionMessage.Written(group, answer.position))
            behind != null -> hints.learn(PositionMessage.Applied(group, call.target, behind))
        }
    }

    private fun targetCall(call: Call): TargetCall = TargetCall(
        target = checkNotNull(call.target) { "the call was not routed" },
        operation = call.request.operation,
        requestId = call.request.requestId,
        organisation = call.organisation,
        position = sessions.neededBy(call.session, call.request.operation),
        deadlineMillis = call.request.deadlineMillis,
        traceParent = call.request.traceParent,
        waitMillis = call.waitMillis,
    )
}
