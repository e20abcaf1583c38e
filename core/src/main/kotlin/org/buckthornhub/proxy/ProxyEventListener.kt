package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/** Observes the steps of each request without changing them; metrics, traces and `explain` use listeners. */
public interface ProxyEventListener {
    public fun requestStarted(request: ProxyRequest) {}

    /** @param organisation null for a read of an open group without a key */
    public fun authenticated(request: ProxyRequest, organisation: OrganisationId?) {}

    /** @param waitedMillis how long the request waited for a rate limit token */
    public fun admitted(request: ProxyRequest, waitedMillis: Long) {}

    /** @param reason one short sentence, for `explain` */
    public fun routed(request: ProxyRequest, target: TargetId, reason: String) {}

    public fun requestEnded(request: ProxyRequest, result: Result<ProxyResponse, ProxyError>) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: ProxyEventListener = object : ProxyEventListener {}
    }
}
