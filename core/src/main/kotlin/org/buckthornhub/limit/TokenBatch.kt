package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/**
 * A batch of tokens at the daemon that spends them.
 *
 * @property zone zone of the share holder that issued the batch
 * @property validUntilMillis local monotonic time, counted from before the request was sent, less the drift margin
 */
public data class TokenBatch(
    val id: BatchId,
    val zone: ZoneId,
    val left: TokenAmount,
    val validUntilMillis: Long,
)
