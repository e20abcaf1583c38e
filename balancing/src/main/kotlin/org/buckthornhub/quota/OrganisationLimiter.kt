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
 * @property nextTokenMillis time of the next token of the reserve that no caller was told of yet; later ones follow every
 * [tokenSpacingMillis]
 * @property isReserveReached false if the last request to the reserve had no answer
 * @property fallbackTokens operations that may be admitted in a window while the reserve can't be reached, of which
 * [fallbackSpent] were in the window of [fallbackWindowMillis]
 * @property shortMillis time of the last answer of the reserve that granted less than requested; null if there was none
 * @property lowMillis time of the last answer that granted less than requested, or of which the reserve ran low; null if there was none
 * @property isInFlood whether the reserve had run low before it became unreachable
 * @property unreachableMillis time of the last request to the reserve without an answer; null if there was none
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
    val nextTokenMillis: Long = 0,
    val tokenSpacingMillis: Long = 0,
    val isReserveReached: Boolean = true,
    val fallbackTokens: FallbackTokens = FallbackTokens(),
    val fallbackSpent: Int = 0,
    val fallbackWindowMillis: Long = 0,
    val shortMillis: Long? = null,
    val lowMillis: Long? = null,
    val isInFlood: Boolean = false,
    val unreachableMillis: Long? = null,
) {
    /** Spends one token, from the reserve first as those expire; returns null if none is left. */
    internal fun withTokenSpent(nowMillis: Long): OrganisationLimiter? = when {
        reserveTokens > 0 && nowMillis < reserveTokensExpireMillis -> copy(reserveTokens = reserveTokens - 1)
        bucket.tokens >= 1 -> copy(bucket = bucket.copy(tokens = bucket.tokens - 1))
        else -> null
    }
}
