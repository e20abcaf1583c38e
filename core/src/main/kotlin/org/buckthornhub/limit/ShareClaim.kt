package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * One share that a daemon asks for or renews.
 *
 * @property heldPartsPerMillion what the daemon holds unexpired when it sends the claim; 0 if nothing
 * @property heldAskedMillis when the held lease was asked for, on the daemon's clock; it takes no older one any more
 * @property demand requests of the organisation that the daemon saw since its last claim
 */
@Serializable
public data class ShareClaim(
    val organisation: OrganisationId,
    val heldPartsPerMillion: Int = 0,
    val heldAskedMillis: Long = 0,
    val demand: Int = 0,
)
