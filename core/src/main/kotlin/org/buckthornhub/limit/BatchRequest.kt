package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Requests a batch of up to [amount] tokens from the holder of a zone's share; the [TokenGrant] repeats [requestId]. */
@Serializable
public data class BatchRequest(
    @SerialName("askId") val requestId: Long,
    val organisation: OrganisationId,
    val amount: TokenAmount,
)
