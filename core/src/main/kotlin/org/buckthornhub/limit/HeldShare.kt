package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A zone's share of one organisation's limit, as recorded by its holder.
 *
 * @property fleetLimit the organisation's limit over the whole fleet
 * @property requestedMillis when the newest lease was requested, local monotonic time
 * @property validUntilMillis end of the lease, local monotonic time, less the drift margin
 */
public data class HeldShare(
    val fleetLimit: RateLimit,
    val partsPerMillion: Int,
    val requestedMillis: Long,
    val validUntilMillis: Long,
    val bucket: TokenBucket,
    val batches: PersistentMap<BatchId, IssuedBatch> = persistentMapOf(),
) {
    /** Returns this share at [nowMillis], with the bucket refilled and the expired batches settled as spent. */
    public fun at(nowMillis: Long): HeldShare {
        val expired = batches.filterValues { it.expiresMillis <= nowMillis }
        if (expired.isEmpty()) return copy(bucket = bucket.refilledAt(nowMillis))
        val settled = expired.values.fold(bucket.refilledAt(nowMillis)) { rest, batch -> rest.settle(batch.amount, TokenAmount.ZERO) }
        return copy(bucket = settled, batches = expired.keys.fold(batches) { rest, id -> rest.remove(id) })
    }

    public fun settled(settlement: BatchSettlement): HeldShare {
        val batch = batches[settlement.batch] ?: return this
        val returned = settlement.returned.coerceIn(TokenAmount.ZERO, batch.amount)
        return copy(bucket = bucket.settle(batch.amount, returned), batches = batches.remove(settlement.batch))
    }

    public fun issue(id: BatchId, batch: IssuedBatch): HeldShare =
        copy(bucket = bucket.issue(batch.amount), batches = batches.put(id, batch))
}
