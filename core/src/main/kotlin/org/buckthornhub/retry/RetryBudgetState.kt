package org.buckthornhub.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/** Number of retries available to each group. */
public data class RetryBudgetState(val balances: PersistentMap<GroupId, Double> = persistentMapOf()) {
    /** Returns the state after a first attempt in [group]. */
    public fun deposited(group: GroupId): RetryBudgetState =
        copy(balances = balances.put(group, (balanceOf(group) + RETRY_SHARE).coerceAtMost(MAX_RETRIES)))

    /** Returns the state after a retry in [group], or null if the budget is exhausted. */
    public fun withdrawn(group: GroupId): RetryBudgetState? {
        val rest = balanceOf(group) - 1
        return if (rest < 0) null else copy(balances = balances.put(group, rest))
    }

    private fun balanceOf(group: GroupId): Double = balances[group] ?: INITIAL_RETRIES

    private companion object {
        const val RETRY_SHARE = 0.1
        const val MAX_RETRIES = 50.0
        const val INITIAL_RETRIES = 5.0
    }
}
