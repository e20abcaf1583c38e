package org.buckthornhub.observe

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ProxyError
import org.buckthornhub.explain.ExplainMessage
import org.buckthornhub.explain.RequestRecord
import org.buckthornhub.explain.StepName
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.statement.isRead
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.Mailbox

/** Sends each step of a request to the recorder without waiting; if the mailbox is full, the record is lost, not the request. */
internal class RecordingListener(
    private val recorder: Mailbox<ExplainMessage>,
    private val clock: Clock,
) : ProxyEventListener {
    override fun requestStarted(request: ProxyRequest) {
        val trace = request.trace ?: return
        val record =
            RequestRecord(
                traceId = trace.traceId,
                spanId = trace.spanId,
                callerSpan = request.callerSpan,
                isSampled = trace.isSampled,
                requestId = request.requestId,
                group = request.operation.group,
                isRead = request.operation.isRead(),
                startedWallMillis = clock.wallMillis(),
                startedMillis = clock.nowMillis(),
            )
        recorder.offer(ExplainMessage.Started(record))
    }

    override fun authenticated(request: ProxyRequest, organisation: OrganisationId?) {
        val trace = request.trace ?: return
        recorder.offer(ExplainMessage.Authenticated(trace.spanId, organisation))
        enterStep(request, StepName.ADMISSION, "authenticated")
    }

    override fun admitted(request: ProxyRequest, waitedMillis: Long): Unit =
        enterStep(request, StepName.ROUTE, "waited $waitedMillis ms for a token", waitedMillis)

    override fun routed(request: ProxyRequest, target: TargetId, reason: String): Unit =
        enterStep(request, StepName.EXECUTION, "routed to $target: $reason", target = target)

    override fun requestEnded(request: ProxyRequest, result: Result<ProxyResponse, ProxyError>) {
        val trace = request.trace ?: return
        val answer = result.get()?.answer
        recorder.offer(ExplainMessage.Ended(trace.spanId, clock.nowMillis(), answer?.target, answer?.fromReplica, result.getError()))
    }

    private fun enterStep(request: ProxyRequest, name: StepName, detail: String, waitedMillis: Long = 0, target: TargetId? = null) {
        val trace = request.trace ?: return
        recorder.offer(ExplainMessage.StepEntered(trace.spanId, name, clock.nowMillis(), detail, waitedMillis, target))
    }
}
