package org.buckthornhub.retry

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.group.GroupId
import org.buckthornhub.task.Task

/** Owns the retry budgets of this daemon, one for each group. */
internal class RetryBudgetTask :
    Task<RetryBudgetMessage>("retry-budget"),
    RetryBudget {
    private var state = RetryBudgetState()

    override fun deposit(group: GroupId) {
        offer(RetryBudgetMessage.Deposit(group))
    }

    override suspend fun tryWithdraw(group: GroupId): Boolean {
        val reply = CompletableDeferred<Boolean>()
        return offer(RetryBudgetMessage.Withdraw(group, reply)) && reply.await()
    }

    override suspend fun handle(message: RetryBudgetMessage) {
        when (message) {
            is RetryBudgetMessage.Deposit -> state = state.deposited(message.group)
            is RetryBudgetMessage.Withdraw -> withdraw(message)
        }
    }

    private fun withdraw(message: RetryBudgetMessage.Withdraw) {
        val next = state.withdrawn(message.group)
        state = next ?: state
        message.reply.complete(next != null)
    }
}
