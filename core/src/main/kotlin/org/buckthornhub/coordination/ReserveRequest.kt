package org.buckthornhub.coordination

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Requests [tokens] from the control leader's reserve of the limit of [organisation]. */
@Serializable
public data class ReserveRequest(
    val organisation: OrganisationId,
    val tokens: Int,
)
