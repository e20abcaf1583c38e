package org.buckthornhub.proxy

import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId

/**
 * A request, independent of the protocol of the front end that received it.
 *
 * @property sessionToken token from an earlier answer; null starts a new session
 * @property deadlineMillis deadline of the answer, in local monotonic time
 * @property traceParent W3C trace context of this request, propagated to targets
 * @property callerSpan parent span of this request, if the caller sent one
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
    /** Parsed [traceParent]; null if it is missing or invalid. */
    val trace: TraceContext? = TraceContext.parse(traceParent)
}
