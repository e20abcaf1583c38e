package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Batch of tokens granted to the requesting daemon.
 *
 * @property validForMillis lifetime of the batch, counted by the daemon from before it sent its request
 */
@Serializable
public data class TokenGrant(
    @SerialName("askId") val requestId: Long,
    val batch: BatchId,
    val amount: TokenAmount,
    val validForMillis: Long,
)
