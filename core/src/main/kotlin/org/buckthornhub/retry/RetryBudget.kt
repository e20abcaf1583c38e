package org.buckthornhub.retry

import org.buckthornhub.group.GroupId

/** Limits retries per group to a fraction of the recent first attempts, so that retries do not amplify a fault. */
public interface RetryBudget {
    /** Counts a first attempt, which adds to the budget of [group]. */
    public fun deposit(group: GroupId)

    /** Takes one retry from the budget of [group]; returns false if it is exhausted. */
    public suspend fun tryWithdraw(group: GroupId): Boolean
}
