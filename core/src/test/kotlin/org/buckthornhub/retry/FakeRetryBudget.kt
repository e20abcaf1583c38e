package org.buckthornhub.retry

import org.buckthornhub.group.GroupId

internal class FakeRetryBudget(private val isSpent: Boolean) : RetryBudget {
    override fun deposit(group: GroupId): Unit = Unit

    override suspend fun tryWithdraw(group: GroupId): Boolean = !isSpent
}
