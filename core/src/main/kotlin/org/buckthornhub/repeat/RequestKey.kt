package org.buckthornhub.repeat

import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.RequestId

/** Names a request in the whole fleet: ids of different organisations never meet. */
public data class RequestKey(
    val organisation: OrganisationId?,
    val requestId: RequestId,
)
