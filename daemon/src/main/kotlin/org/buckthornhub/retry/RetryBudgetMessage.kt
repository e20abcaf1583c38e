package org.buckthornhub.retry

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.group.GroupId

/** What the keeper of the retry budget is told. */
internal sealed interface RetryBudgetMessage {
    /** A first attempt was made. */
    data class Deposit(val group: GroupId) : RetryBudgetMessage

    /** Asks for one retry. */
    data class Withdraw(
        val group: GroupId,
        val reply: CompletableDeferred<Boolean>,
    ) : RetryBudgetMessage
}
