package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * Tokens, waiting admissions and pending batch requests of one organisation at one daemon.
 *
 * @property isFallbackRound true while the pending requests go to the zones other than the first one of the round
 * @property shortfall amount that was requested in this round and is not granted yet
 * @property completedRounds number of completed rounds of requests, which selects the first zone of the next one
 * @property nextRoundMillis earliest time of the next request, after all holders had run out of tokens
 * @property admittedInWindow admissions since [windowMillis], the start of the current window
 */
public data class LocalTokens(
    val limit: RateLimit,
    val lastUsedMillis: Long,
    val batches: PersistentList<TokenBatch> = persistentListOf(),
    val waiting: PersistentList<WaitingAdmission> = persistentListOf(),
    val batchRequests: PersistentMap<Long, PendingBatchRequest> = persistentMapOf(),
    val isFallbackRound: Boolean = false,
    val shortfall: TokenAmount = TokenAmount.ZERO,
    val completedRounds: Int = 0,
    val nextRoundMillis: Long = 0,
    val windowMillis: Long = 0,
    val admittedInWindow: Int = 0,
    val admittedInPreviousWindow: Int = 0,
) {
    /** Returns the tokens in unexpired batches at [nowMillis]. */
    public fun available(nowMillis: Long): TokenAmount =
        TokenAmount(batches.sumOf { if (nowMillis < it.validUntilMillis) it.left.micro else 0 })

    /** Spends one token, from the batches that expire first, or returns null if less than one is available. */
    public fun spendOne(nowMillis: Long): LocalTokens? {
        if (available(nowMillis) < TokenAmount.ONE) return null
        val start = persistentListOf<TokenBatch>() to TokenAmount.ONE
        val (rest, _) =
            batches.sortedBy { it.validUntilMillis }.fold(start) { (kept, due), batch ->
                val taken = if (nowMillis < batch.validUntilMillis) minOf(batch.left, due) else TokenAmount.ZERO
                kept.add(batch.copy(left = batch.left - taken)) to due - taken
            }
        return withAdmissionCounted(nowMillis).copy(batches = rest, lastUsedMillis = nowMillis)
    }

    private fun withAdmissionCounted(nowMillis: Long): LocalTokens = when {
        nowMillis < windowMillis + WINDOW_MILLIS -> copy(admittedInWindow = admittedInWindow + 1)
        nowMillis < windowMillis + 2 * WINDOW_MILLIS -> copy(
            windowMillis = nowMillis,
            admittedInPreviousWindow = admittedInWindow,
            admittedInWindow = 1,
        )
        else -> copy(windowMillis = nowMillis, admittedInPreviousWindow = 0, admittedInWindow = 1)
    }

    /** Estimates the admissions within half a window from the previous window. */
    public fun expectedAdmissions(): Int = admittedInPreviousWindow / 2

    public companion object {
        public const val WINDOW_MILLIS: Long = 100
    }
}
