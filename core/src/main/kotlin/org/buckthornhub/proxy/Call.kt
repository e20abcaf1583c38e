package org.buckthornhub.proxy

import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.session.Session
import org.buckthornhub.target.TargetId

/**
 * A request on its way down the chain; each interceptor hands on a copy with what it found out.
 *
 * @property organisation set once the key is known; null on groups open to all
 * @property target set once the request is routed
 * @property waitMillis how long the target may be waited for if it is behind the session
 */
public data class Call(
    val request: ProxyRequest,
    val organisation: OrganisationId? = null,
    val grant: Grant? = null,
    val session: Session = Session(organisation = null),
    val target: TargetId? = null,
    val waitMillis: Long = 0,
)
