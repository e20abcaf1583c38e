package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Rate limiter state of one organisation at one daemon.
 *
 * @property bucket bucket with the daemon's own share of the limit
 * @property reserveTokens tokens from the reserve, valid until [reserveTokensExpireMillis]
 * @property requested operations requested since the last tick
 * @property perSecond smoothed demand in operations per second, including refused ones
 * @property waiting tickets of the operations that wait for the reserve, in order of arrival
 * @property nextReserveRequestMillis earliest time of the next request, after the reserve was empty or unreachable
 */
public data class OrganisationLimiter(
    val bucket: BucketState,
    val rate: BucketRate,
    val reserveTokens: Int = 0,
    val reserveTokensExpireMillis: Long = 0,
    val requested: Int = 0,
    val perSecond: Double = 0.0,
    val waiting: PersistentList<Long> = persistentListOf(),
    val isReserveRequested: Boolean = false,
    val nextReserveRequestMillis: Long = 0,
) {
    /** Spends one token, from the reserve first as those expire; returns null if none is left. */
    internal fun withTokenSpent(nowMillis: Long): OrganisationLimiter? = when {
        reserveTokens > 0 && nowMillis < reserveTokensExpireMillis -> copy(reserveTokens = reserveTokens - 1)
        bucket.tokens >= 1 -> copy(bucket = bucket.copy(tokens = bucket.tokens - 1))
        else -> null
    }
}
