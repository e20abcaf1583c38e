package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Fraction of each organisation's limit that the control leader reserves for daemons that have used up their own share.
 *
 * It starts empty, because an earlier leader may just have granted all of its reserve.
 *
 * @property startedMillis time from which it refills (local monotonic ms)
 */
public data class TokenReserve(
    val startedMillis: Long,
    val buckets: PersistentMap<OrganisationId, BucketState> = persistentMapOf(),
) {
    /** Withdraws up to [wanted] tokens of [organisation], where [limit] applies to the whole fleet. */
    public fun withdraw(organisation: OrganisationId, wanted: Int, limit: BucketRate, nowMillis: Long): ReserveWithdrawal {
        val filled = limit.scaledBy(FRACTION).refill(buckets[organisation] ?: BucketState(0.0, startedMillis), nowMillis)
        val tokens = minOf(filled.tokens.toInt(), wanted).coerceAtLeast(0)
        return ReserveWithdrawal(copy(buckets = buckets.put(organisation, filled.copy(tokens = filled.tokens - tokens))), tokens)
    }

    public companion object {
        /**
         * Fraction of the limit in the reserve; the daemons divide the rest and use it on their own.
         *
         * A larger reserve leaves too little to a fleet without a leader, a smaller one does not cover callers who move
         * between daemons. `LimitSplitTest` simulates both.
         */
        public const val FRACTION: Double = 0.4
    }
}
