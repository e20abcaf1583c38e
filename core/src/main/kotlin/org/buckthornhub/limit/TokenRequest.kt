package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message of a daemon to the holder of a zone's shares; settlements are applied before the batch requests. */
@Serializable
public data class TokenRequest(
    val settlements: List<BatchSettlement> = emptyList(),
    @SerialName("asks") val batchRequests: List<BatchRequest> = emptyList(),
)
