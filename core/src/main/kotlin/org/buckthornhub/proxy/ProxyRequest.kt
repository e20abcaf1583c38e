package org.buckthornhub.proxy

import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId

/**
 * A request as a front end hands it over, whatever its protocol.
 *
 * @property sessionToken token of an earlier answer; null starts a session
 * @property deadlineMillis monotonic time of this process by which the answer has to be there
 * @property traceParent W3C trace context of this request, which goes on to targets
 * @property callerSpan span of the caller that this request belongs to, if it sent one
 */
public data class ProxyRequest(
    val key: ApiKey?,
    val sessionToken: String?,
    val operation: Operation,
    val requestId: RequestId,
    val deadlineMillis: Long,
    val traceParent: String? = null,
    val callerSpan: String? = null,
) {
    /** [traceParent] if it is valid. */
    val trace: TraceContext? = TraceContext.parse(traceParent)
}
