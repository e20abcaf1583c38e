package org.buckthornhub.repeat

import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.RequestId

/** Identifies a request in the whole fleet; equal ids of different organisations do not collide. */
public data class RequestKey(
    val organisation: OrganisationId?,
    val requestId: RequestId,
)
