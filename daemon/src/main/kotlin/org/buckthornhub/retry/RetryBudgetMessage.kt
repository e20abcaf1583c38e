package org.buckthornhub.retry

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.group.GroupId

/** Messages handled by [RetryBudgetTask]. */
internal sealed interface RetryBudgetMessage {
    /** Adds to the budget for the first attempt of a request. */
    data class Deposit(val group: GroupId) : RetryBudgetMessage

    /** Requests one retry; [reply] gets false if the budget is used up. */
    data class Withdraw(
        val group: GroupId,
        val reply: CompletableDeferred<Boolean>,
    ) : RetryBudgetMessage
}
