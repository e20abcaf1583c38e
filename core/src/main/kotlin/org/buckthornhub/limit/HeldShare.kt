package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A zone's share of one organisation's limit, as its holder has it.
 *
 * @property whole the limit over the whole fleet
 * @property askedMillis when the newest lease was asked for, local monotonic time
 * @property validUntilMillis end of the lease, local monotonic time, less the drift margin
 */
public data class HeldShare(
    val whole: RateLimit,
    val partsPerMillion: Int,
    val askedMillis: Long,
    val validUntilMillis: Long,
    val bucket: TokenBucket,
    val batches: PersistentMap<BatchId, HandedOutBatch> = persistentMapOf(),
) {
    /** This share at [nowMillis]: batches that expired count no longer, and the bucket has minted. */
    public fun at(nowMillis: Long): HeldShare {
        val expired = batches.filterValues { it.expiresMillis <= nowMillis }
        if (expired.isEmpty()) return copy(bucket = bucket.mintedAt(nowMillis))
        val settled = expired.values.fold(bucket.mintedAt(nowMillis)) { rest, batch -> rest.settle(batch.amount, TokenAmount.ZERO) }
        return copy(bucket = settled, batches = expired.keys.fold(batches) { rest, id -> rest.remove(id) })
    }

    public fun settled(settlement: BatchSettlement): HeldShare {
        val batch = batches[settlement.batch] ?: return this
        val returned = settlement.returned.coerceIn(TokenAmount.ZERO, batch.amount)
        return copy(bucket = bucket.settle(batch.amount, returned), batches = batches.remove(settlement.batch))
    }

    public fun handOut(id: BatchId, batch: HandedOutBatch): HeldShare =
        copy(bucket = bucket.handOut(batch.amount), batches = batches.put(id, batch))
}
