package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/** Observes each step of the path without touching it; metrics, traces and `explain` are listeners. */
public interface ProxyEventListener {
    public fun requestStarted(request: ProxyRequest) {}

    /** @param organisation null on groups open to all */
    public fun authenticated(request: ProxyRequest, organisation: OrganisationId?) {}

    /** @param waitedMillis how long admission waited for a token */
    public fun admitted(request: ProxyRequest, waitedMillis: Long) {}

    /** @param reason one short sentence, for `explain` */
    public fun routed(request: ProxyRequest, target: TargetId, reason: String) {}

    public fun requestEnded(request: ProxyRequest, result: Result<ProxyResponse, ProxyError>) {}

    public companion object {
        /** Observes nothing. */
        public val NONE: ProxyEventListener = object : ProxyEventListener {}
    }
}
