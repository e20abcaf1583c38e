package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Fraction of each organisation's limit that the control leader reserves for daemons that have used up their own share.
 *
 * It starts empty, because an earlier leader may just have granted all of its reserve.
 *
 * @property announcedMillis time of the last future token that a daemon was told of, by organisation
 * @property startedMillis time from which it refills (local monotonic ms)
 */
public data class TokenReserve(
    val startedMillis: Long,
    val buckets: PersistentMap<OrganisationId, BucketState> = persistentMapOf(),
    val announcedMillis: PersistentMap<OrganisationId, Long> = persistentMapOf(),
) {
    /**
     * Withdraws up to [wanted] tokens of [organisation] from a reserve that refills at [rate].
     *
     * For each token that is missing, the time of a future one is announced, and each of those once: so callers that are told to
     * come back return one by one, as tokens appear, and not together.
     */
    public fun withdraw(organisation: OrganisationId, wanted: Int, rate: BucketRate, nowMillis: Long): ReserveWithdrawal {
        val filled = rate.refill(buckets[organisation] ?: BucketState(0.0, startedMillis), nowMillis)
        val tokens = minOf(filled.tokens.toInt(), wanted).coerceAtLeast(0)
        val left = filled.copy(tokens = filled.tokens - tokens)
        val next = copy(buckets = buckets.put(organisation, left))
        if (tokens == wanted) return ReserveWithdrawal(next, tokens)
        val spacingMillis = rate.tokenMillis
        val firstMillis = maxOf(nowMillis + rate.retryAfterMillis(left), (announcedMillis[organisation] ?: 0) + spacingMillis)
        val latestMillis = nowMillis + BucketRate.MAX_RETRY_AFTER_MILLIS
        val lastMillis = (firstMillis + (wanted - tokens - 1) * spacingMillis).coerceAtMost(latestMillis)
        return ReserveWithdrawal(
            next.copy(announcedMillis = announcedMillis.put(organisation, lastMillis)),
            tokens,
            firstMillis.coerceAtMost(latestMillis) - nowMillis,
            spacingMillis,
        )
    }
}
