package org.buckthornhub.target

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.buckthornhub.error.ProxyError
import org.buckthornhub.proxy.Call
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyResponse

/** Ends the chain: has the chosen target run the operation, and moves the session on. */
public class ExecuteInterceptor(private val gateway: TargetGateway) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        return gateway.execute(targetCall(call)).map { answer ->
            ProxyResponse(answer, call.session.advancedTo(call.request.operation.group, answer.position))
        }
    }

    private fun targetCall(call: Call): TargetCall = TargetCall(
        target = checkNotNull(call.target) { "the call was not routed" },
        operation = call.request.operation,
        requestId = call.request.requestId,
        organisation = call.organisation,
        position = call.session.positionIn(call.request.operation.group),
        deadlineMillis = call.request.deadlineMillis,
        traceParent = call.request.traceParent,
    )
}
