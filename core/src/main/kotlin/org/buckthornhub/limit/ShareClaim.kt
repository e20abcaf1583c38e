package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * Claim of a daemon for one share, new or renewed.
 *
 * @property heldPartsPerMillion unexpired share that the daemon holds when it sends the claim; 0 for none
 * @property heldRequestedMillis when the daemon requested the lease that it holds, on its own clock; it ignores replies to earlier requests
 * @property demand number of requests of the organisation at the daemon since its last claim
 */
@Serializable
public data class ShareClaim(
    val organisation: OrganisationId,
    val heldPartsPerMillion: Int = 0,
    @SerialName("heldAskedMillis") val heldRequestedMillis: Long = 0,
    val demand: Int = 0,
)
