package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * What one daemon holds and waits for on behalf of one organisation.
 *
 * @property areOthersAsked true while the asks in flight go to the zones that were not asked first
 * @property missing what the asks in flight wanted and did not get yet
 * @property rounds rounds of asks so far, which choose the zone to ask first
 * @property nextRoundMillis no asks before this time, because all holders were empty a moment ago
 * @property windowAdmitted admissions in the window that began at [windowMillis]; [lastAdmitted] in the one before
 */
public data class Purse(
    val limit: RateLimit,
    val usedMillis: Long,
    val batches: PersistentList<TokenBatch> = persistentListOf(),
    val waiting: PersistentList<WaitingAdmission> = persistentListOf(),
    val asks: PersistentMap<Long, PendingAsk> = persistentMapOf(),
    val areOthersAsked: Boolean = false,
    val missing: TokenAmount = TokenAmount.ZERO,
    val rounds: Int = 0,
    val nextRoundMillis: Long = 0,
    val windowMillis: Long = 0,
    val windowAdmitted: Int = 0,
    val lastAdmitted: Int = 0,
) {
    /** Tokens that may be spent at [nowMillis]. */
    public fun spendable(nowMillis: Long): TokenAmount =
        TokenAmount(batches.sumOf { if (nowMillis < it.validUntilMillis) it.left.micro else 0 })

    /** This purse less one token, the oldest first, or null if it does not hold a whole one. */
    public fun spendOne(nowMillis: Long): Purse? {
        if (spendable(nowMillis) < TokenAmount.ONE) return null
        val start = persistentListOf<TokenBatch>() to TokenAmount.ONE
        val (rest, _) =
            batches.sortedBy { it.validUntilMillis }.fold(start) { (kept, due), batch ->
                val taken = if (nowMillis < batch.validUntilMillis) minOf(batch.left, due) else TokenAmount.ZERO
                kept.add(batch.copy(left = batch.left - taken)) to due - taken
            }
        return counted(nowMillis).copy(batches = rest, usedMillis = nowMillis)
    }

    private fun counted(nowMillis: Long): Purse = when {
        nowMillis < windowMillis + WINDOW_MILLIS -> copy(windowAdmitted = windowAdmitted + 1)
        nowMillis < windowMillis + 2 * WINDOW_MILLIS -> copy(windowMillis = nowMillis, lastAdmitted = windowAdmitted, windowAdmitted = 1)
        else -> copy(windowMillis = nowMillis, lastAdmitted = 0, windowAdmitted = 1)
    }

    /** Admissions to expect within half a window. */
    public fun expected(): Int = lastAdmitted / 2

    public companion object {
        public const val WINDOW_MILLIS: Long = 100
    }
}
