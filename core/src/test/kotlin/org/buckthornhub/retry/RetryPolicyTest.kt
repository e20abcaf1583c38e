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
    fun `a failure is followed by what its case says`(case: RetryCase) = runTest {
        val policy = BudgetRetryPolicy(FakeRetryBudget(case.isBudgetSpent), Random(1))
        val failed = FailedAttempt(case.operation, ProxyError(case.kind, ""), case.attempt, nowMillis = 0, case.remainingMillis)
        assertEquals(case.again, (policy.decide(failed) as? RetryDecision.Again)?.isTargetAvoided)
    }

    @Test
    fun `retries are a share of the first attempts`() {
        val state = generateSequence(RetryBudgetState()) { it.deposited(group) }.drop(1_000).first()
        val withdrawals = generateSequence(state) { it.withdrawn(group) }.count() - 1
        assertEquals(50, withdrawals)
        val drained = generateSequence(state) { it.withdrawn(group) }.last()
        val after = generateSequence(drained) { it.deposited(group) }.drop(101).first()
        assertEquals(10, generateSequence(after) { it.withdrawn(group) }.count() - 1)
        assertNotNull(drained.withdrawn(GroupId("other")), "each group has its own")
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
            RetryCase("a write that may have run", write, ErrorKind.OUTCOME_UNKNOWN, again = null),
            RetryCase("a read that is not repeatable", read, ErrorKind.ANSWER_LOST, again = null),
            RetryCase("a begin that may have run", Operation.Begin(group), ErrorKind.OUTCOME_UNKNOWN, again = null),
            RetryCase("a commit that was not sent", commit, ErrorKind.NO_TARGET, again = null),
            RetryCase("a repeatable write that may have run", repeatableWrite, ErrorKind.OUTCOME_UNKNOWN, again = false),
            RetryCase("a repeatable read that was lost", repeatableRead, ErrorKind.ANSWER_LOST, again = true),
            RetryCase("the same with the budget spent", repeatableRead, ErrorKind.ANSWER_LOST, again = null, isBudgetSpent = true),
            RetryCase("the same for the fourth time", repeatableRead, ErrorKind.ANSWER_LOST, again = null, attempt = 4),
            RetryCase("a replica that is behind needs no budget", read, ErrorKind.REPLICA_BEHIND, again = true, isBudgetSpent = true),
            RetryCase("a target that can't be reached", read, ErrorKind.NO_TARGET, again = true),
            RetryCase("a write that was not sent waits", write, ErrorKind.NO_TARGET, again = false),
            RetryCase("a write waits for the new primary", write, ErrorKind.NO_PRIMARY, again = false, attempt = 40),
            RetryCase("but not beyond its deadline", write, ErrorKind.NO_PRIMARY, again = null, attempt = 40, remainingMillis = 30),
            RetryCase("a full queue of a replica", read, ErrorKind.QUEUE_FULL, again = true),
            RetryCase("a full queue of the primary", write, ErrorKind.QUEUE_FULL, again = null),
            RetryCase("a rejected statement", repeatableWrite, ErrorKind.STATEMENT_REJECTED, again = null),
            RetryCase("a lost write of the session", read, ErrorKind.WRITE_LOST, again = null),
        )
    }
}
