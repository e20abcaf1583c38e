package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/**
 * Tokens moved to the daemon that asked.
 *
 * @property validForMillis how long they may be spent, counted by the daemon from before it asked
 */
@Serializable
public data class TokenGrant(
    val askId: Long,
    val batch: BatchId,
    val amount: TokenAmount,
    val validForMillis: Long,
)
