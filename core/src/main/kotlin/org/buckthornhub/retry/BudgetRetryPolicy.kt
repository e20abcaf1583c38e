package org.buckthornhub.retry

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.isRead
import org.buckthornhub.statement.openTransaction
import kotlin.random.Random

/**
 * Retries operations until their deadline, depending on whether the failed attempt may have run.
 *
 * An operation that was not sent is retried on another target, or until there is a new primary. One that may have run is
 * retried only if its statement is repeatable, and within [budget]. Nothing inside a transaction is retried.
 */
public class BudgetRetryPolicy(
    private val budget: RetryBudget,
    private val random: Random = Random.Default,
) : RetryPolicy {
    override fun started(group: GroupId): Unit = budget.deposit(group)

    override suspend fun decide(failed: FailedAttempt): RetryDecision {
        val next = decisionFor(failed)
        if (next !is RetryDecision.Retry) return next
        val isInTime = failed.nowMillis + next.delayMillis < failed.deadlineMillis
        if (!isInTime || mayHaveRun(failed.error.kind) && !budget.tryWithdraw(failed.operation.group)) return RetryDecision.GiveUp
        return next
    }

    private fun decisionFor(failed: FailedAttempt): RetryDecision {
        if (failed.operation.openTransaction() != null) return RetryDecision.GiveUp
        val isRead = failed.operation.isRead()
        return when (failed.error.kind) {
            ErrorKind.REPLICA_BEHIND -> if (failed.attempt < MAX_TARGETS) retryOnOtherTarget() else retryAfterBackoff(failed.attempt)
            ErrorKind.NO_TARGET -> if (isRead && failed.attempt < MAX_TARGETS) retryOnOtherTarget() else retryAfterBackoff(failed.attempt)
            ErrorKind.NO_PRIMARY -> retryAfterBackoff(failed.attempt)
            ErrorKind.QUEUE_FULL -> if (isRead && failed.attempt == 1) retryOnOtherTarget() else RetryDecision.GiveUp
            ErrorKind.ANSWER_LOST, ErrorKind.OUTCOME_UNKNOWN -> retryIfRepeatable(failed, isRead)
            else -> RetryDecision.GiveUp
        }
    }

    private fun retryIfRepeatable(failed: FailedAttempt, isRead: Boolean): RetryDecision {
        val isRepeatable = (failed.operation as? Operation.Run)?.statement?.repeatable ?: false
        if (!isRepeatable || failed.attempt >= MAX_TARGETS) return RetryDecision.GiveUp
        return RetryDecision.Retry(delayMillis = backoffMillis(failed.attempt), isTargetAvoided = isRead)
    }

    private fun retryOnOtherTarget() = RetryDecision.Retry(delayMillis = 0, isTargetAvoided = true)

    private fun retryAfterBackoff(attempt: Int) = RetryDecision.Retry(delayMillis = backoffMillis(attempt), isTargetAvoided = false)

    private fun backoffMillis(attempt: Int): Long {
        val ceiling = (BASE_DELAY_MILLIS shl attempt.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_DELAY_MILLIS)
        return random.nextLong(ceiling / 2, ceiling + 1)
    }

    private fun mayHaveRun(kind: ErrorKind): Boolean = kind == ErrorKind.ANSWER_LOST || kind == ErrorKind.OUTCOME_UNKNOWN

    private companion object {
        const val MAX_TARGETS = 4
        const val BASE_DELAY_MILLIS = 5L
        const val MAX_DELAY_MILLIS = 80L
        const val MAX_DOUBLINGS = 4
    }
}
