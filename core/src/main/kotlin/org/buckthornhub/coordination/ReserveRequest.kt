package org.buckthornhub.coordination

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Asks the control leader for [tokens] of what it keeps back of [organisation]'s limit. */
@Serializable
public data class ReserveRequest(
    val organisation: OrganisationId,
    val tokens: Int,
)
