package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/**
 * Tokens that this daemon holds.
 *
 * @property zone zone whose holder handed them out
 * @property validUntilMillis local monotonic time, counted from before the ask, less the drift margin
 */
public data class TokenBatch(
    val id: BatchId,
    val zone: ZoneId,
    val left: TokenAmount,
    val validUntilMillis: Long,
)
