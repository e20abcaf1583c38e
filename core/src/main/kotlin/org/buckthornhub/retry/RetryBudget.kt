package org.buckthornhub.retry

import org.buckthornhub.group.GroupId

/** Bounds retries to a share of recent traffic, per group, so that a fault is not made worse by them. */
public interface RetryBudget {
    /** Counts one first attempt. */
    public fun deposit(group: GroupId)

    /** Takes one retry; false if the budget is spent. */
    public suspend fun tryWithdraw(group: GroupId): Boolean
}
