package org.buckthornhub.coordination

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * Requests [tokens] from the control leader's reserve of the limit of [organisation].
 *
 * @property returned tokens that were drawn before and are given back unused; null if there are none
 */
@Serializable
public data class ReserveRequest(
    val organisation: OrganisationId,
    val tokens: Int,
    val returned: Int? = null,
)
