package org.buckthornhub.proxy

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/** Passes each event to all of [listeners] in their order. */
public class CompositeEventListener(private val listeners: PersistentList<ProxyEventListener>) : ProxyEventListener {
    override fun requestStarted(request: ProxyRequest): Unit = listeners.forEach { it.requestStarted(request) }

    override fun authenticated(request: ProxyRequest, organisation: OrganisationId?): Unit =
        listeners.forEach { it.authenticated(request, organisation) }

    override fun admitted(request: ProxyRequest, waitedMillis: Long): Unit = listeners.forEach { it.admitted(request, waitedMillis) }

    override fun routed(request: ProxyRequest, target: TargetId, reason: String): Unit =
        listeners.forEach { it.routed(request, target, reason) }

    override fun requestEnded(request: ProxyRequest, result: Result<ProxyResponse, ProxyError>): Unit =
        listeners.forEach { it.requestEnded(request, result) }
}
