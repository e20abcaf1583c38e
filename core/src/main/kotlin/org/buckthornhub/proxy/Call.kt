package org.buckthornhub.proxy

import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.session.Session
import org.buckthornhub.target.TargetId

/**
 * State of a request in the interceptor chain; each interceptor passes a copy with its results to the next.
 *
 * @property organisation set by authentication; stays null for reads of open groups without a key
 * @property target set by routing
 * @property waitMillis how long the request may wait for the target to apply the position of the session
 */
public data class Call(
    val request: ProxyRequest,
    val organisation: OrganisationId? = null,
    val grant: Grant? = null,
    val session: Session = Session(organisation = null),
    val target: TargetId? = null,
    val waitMillis: Long = 0,
)
