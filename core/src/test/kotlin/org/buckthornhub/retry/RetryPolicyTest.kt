package org.buckthornhub.retry

import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupId
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.Statement
import org.buckthornhub.statement.TransactionId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

internal class RetryPolicyTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `each failure leads to the expected decision`(case: RetryCase) = runTest {
        val policy = BudgetRetryPolicy(FakeRetryBudget(case.isBudgetSpent), Random(1))
        val failed = FailedAttempt(case.operation, ProxyError(case.kind, ""), case.attempt, nowMillis = 0, case.remainingMillis)
        assertEquals(case.avoidsTarget, (policy.decide(failed) as? RetryDecision.Retry)?.isTargetAvoided)
    }

    @Test
    fun `retries are limited to a fraction of the first attempts`() {
        val state = generateSequence(RetryBudgetState()) { it.deposited(group) }.drop(1_000).first()
        val withdrawals = generateSequence(state) { it.withdrawn(group) }.count() - 1
        assertEquals(50, withdrawals)
        val drained = generateSequence(state) { it.withdrawn(group) }.last()
        val after = generateSequence(drained) { it.deposited(group) }.drop(101).first()
        assertEquals(10, generateSequence(after) { it.withdrawn(group) }.count() - 1)
        assertNotNull(drained.withdrawn(GroupId("other")), "each group has its own budget")
    }

    private companion object {
        private val group = GroupId("g")
        private val write = run(Access.WRITE, repeatable = false)
        private val read = run(Access.READ, repeatable = false)
        private val repeatableWrite = run(Access.WRITE, repeatable = true)
        private val repeatableRead = run(Access.READ, repeatable = true)
        private val commit = Operation.Commit(group, TransactionId("t"))

        private fun run(access: Access, repeatable: Boolean) = Operation.Run(Statement(group, access, "x", repeatable))

        @JvmStatic
        fun cases(): List<RetryCase> = listOf(
            RetryCase("a write that may have run", write, ErrorKind.OUTCOME_UNKNOWN, avoidsTarget = null),
            RetryCase("a read that is not repeatable", read, ErrorKind.ANSWER_LOST, avoidsTarget = null),
            RetryCase("a begin that may have run", Operation.Begin(group), ErrorKind.OUTCOME_UNKNOWN, avoidsTarget = null),
            RetryCase("a commit that was not sent", commit, ErrorKind.NO_TARGET, avoidsTarget = null),
            RetryCase("a repeatable write that may have run", repeatableWrite, ErrorKind.OUTCOME_UNKNOWN, avoidsTarget = false),
            RetryCase("a repeatable read that was lost", repeatableRead, ErrorKind.ANSWER_LOST, avoidsTarget = true),
            RetryCase(
                "a lost repeatable read, budget exhausted",
                repeatableRead,
                ErrorKind.ANSWER_LOST,
                avoidsTarget = null,
                isBudgetSpent = true,
            ),
            RetryCase(
                "a repeatable read lost in the fourth attempt",
                repeatableRead,
                ErrorKind.ANSWER_LOST,
                avoidsTarget = null,
                attempt = 4,
            ),
            RetryCase(
                "a replica that is behind needs no budget",
                read,
                ErrorKind.REPLICA_BEHIND,
                avoidsTarget = true,
                isBudgetSpent = true,
            ),
            RetryCase("a target that can't be reached", read, ErrorKind.NO_TARGET, avoidsTarget = true),
            RetryCase("a write that was not sent is retried", write, ErrorKind.NO_TARGET, avoidsTarget = false),
            RetryCase("a write is retried until there is a new primary", write, ErrorKind.NO_PRIMARY, avoidsTarget = false, attempt = 40),
            RetryCase("no retry beyond the deadline", write, ErrorKind.NO_PRIMARY, avoidsTarget = null, attempt = 40, remainingMillis = 30),
            RetryCase("a full queue of a replica", read, ErrorKind.QUEUE_FULL, avoidsTarget = true),
            RetryCase("a full queue of the primary", write, ErrorKind.QUEUE_FULL, avoidsTarget = null),
            RetryCase("a rejected statement", repeatableWrite, ErrorKind.STATEMENT_REJECTED, avoidsTarget = null),
            RetryCase("a lost write of the session", read, ErrorKind.WRITE_LOST, avoidsTarget = null),
        )
    }
}
