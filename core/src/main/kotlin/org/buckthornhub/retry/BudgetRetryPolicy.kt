package org.buckthornhub.retry

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.isRead
import org.buckthornhub.statement.openTransaction
import kotlin.random.Random

/**
 * What was not sent goes to another target, or waits for a new primary, until the deadline. What may have run is sent
 * again only if its statement is repeatable, and within [budget]. Nothing inside a transaction is sent again.
 */
public class BudgetRetryPolicy(
    private val budget: RetryBudget,
    private val random: Random = Random.Default,
) : RetryPolicy {
    override fun started(group: GroupId): Unit = budget.deposit(group)

    override suspend fun decide(failed: FailedAttempt): RetryDecision {
        val next = nextOf(failed)
        if (next !is RetryDecision.Again) return next
        val isInTime = failed.nowMillis + next.delayMillis < failed.deadlineMillis
        if (!isInTime || isSent(failed.error.kind) && !budget.tryWithdraw(failed.operation.group)) return RetryDecision.GiveUp
        return next
    }

    private fun nextOf(failed: FailedAttempt): RetryDecision {
        if (failed.operation.openTransaction() != null) return RetryDecision.GiveUp
        val isRead = failed.operation.isRead()
        return when (failed.error.kind) {
            ErrorKind.REPLICA_BEHIND -> if (failed.attempt < MAX_TARGETS) elsewhere() else soon(failed.attempt)
            ErrorKind.NO_TARGET -> if (isRead && failed.attempt < MAX_TARGETS) elsewhere() else soon(failed.attempt)
            ErrorKind.NO_PRIMARY -> soon(failed.attempt)
            ErrorKind.QUEUE_FULL -> if (isRead && failed.attempt == 1) elsewhere() else RetryDecision.GiveUp
            ErrorKind.ANSWER_LOST, ErrorKind.OUTCOME_UNKNOWN -> repeated(failed, isRead)
            else -> RetryDecision.GiveUp
        }
    }

    private fun repeated(failed: FailedAttempt, isRead: Boolean): RetryDecision {
        val isRepeatable = (failed.operation as? Operation.Run)?.statement?.repeatable ?: false
        if (!isRepeatable || failed.attempt >= MAX_TARGETS) return RetryDecision.GiveUp
        return RetryDecision.Again(delayMillis = jittered(failed.attempt), isTargetAvoided = isRead)
    }

    private fun elsewhere() = RetryDecision.Again(delayMillis = 0, isTargetAvoided = true)

    private fun soon(attempt: Int) = RetryDecision.Again(delayMillis = jittered(attempt), isTargetAvoided = false)

    private fun jittered(attempt: Int): Long {
        val ceiling = (BASE_DELAY_MILLIS shl attempt.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_DELAY_MILLIS)
        return random.nextLong(ceiling / 2, ceiling + 1)
    }

    private fun isSent(kind: ErrorKind): Boolean = kind == ErrorKind.ANSWER_LOST || kind == ErrorKind.OUTCOME_UNKNOWN

    private companion object {
        const val MAX_TARGETS = 4
        const val BASE_DELAY_MILLIS = 5L
        const val MAX_DELAY_MILLIS = 80L
        const val MAX_DOUBLINGS = 4
    }
}
