package org.buckthornhub.connection

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Access
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

internal class SessionRulesTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a statement leads to the expected step or error`(case: SessionRuleCase) {
        val step = SessionRules.next(case.state, case.statement, nowMillis = 7)
        if (case.error == null) return assertEquals(case.expected, step)
        assertIs<SessionStep.Refuse>(step)
        assertEquals(case.error, step.kind)
        assertEquals(case.transactionAfterError ?: case.state.transaction, step.state.transaction)
    }

    @Test
    fun `a full session rejects new names and accepts changes of existing ones`() {
        val full = (1..SessionRules.MAX_NAMES).fold(SessionState()) { state, number ->
            assertIs<SessionStep.Acknowledge>(SessionRules.next(state, ClientStatement.SetValue("v$number", "a"), 0)).state
        }
        assertIs<SessionStep.Refuse>(SessionRules.next(full, ClientStatement.SetValue("one more", "a"), 0))
        val changed = assertIs<SessionStep.Acknowledge>(SessionRules.next(full, ClientStatement.SetValue("v1", "b"), 0)).state
        assertEquals("b", changed.values["v1"])
    }

    private companion object {
        private val preparedRead = PreparedStatement(Access.READ, "q1")
        private val prepared = SessionState(prepared = persistentMapOf("s1" to preparedRead))
        private val open = TransactionState.Open(readOnly = false, beganMillis = 3)
        private val inTransaction = SessionState(transaction = open)
        private val failed = SessionState(transaction = TransactionState.Failed)
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val work = DataStatement.Plain(Access.READ, "READ 1")

        @JvmStatic
        fun cases(): List<SessionRuleCase> = listOf(
            SessionRuleCase("a read outside a transaction", SessionState(), read, SessionStep.RunOutsideTransaction(work)),
            SessionRuleCase("a read in a transaction", inTransaction, read, SessionStep.RunInTransaction(work, open)),
            SessionRuleCase("a read after a failure", failed, read, error = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase(
                "a begin",
                SessionState(),
                ClientStatement.Begin(readOnly = true),
                SessionStep.BeginTransaction(SessionState(transaction = TransactionState.Open(readOnly = true, beganMillis = 7))),
            ),
            SessionRuleCase("a second begin", inTransaction, ClientStatement.Begin(false), error = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase("a begin after a failure", failed, ClientStatement.Begin(false), error = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase("a commit", inTransaction, ClientStatement.Commit, SessionStep.CommitTransaction(open)),
            SessionRuleCase("a commit outside a transaction", SessionState(), ClientStatement.Commit, error = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase(
                "a commit after a failure reports the rollback",
                failed,
                ClientStatement.Commit,
                error = ErrorKind.TRANSACTION_ABORTED,
                transactionAfterError = TransactionState.None,
            ),
            SessionRuleCase("a rollback", inTransaction, ClientStatement.RollBack, SessionStep.RollBackTransaction(SessionState())),
            SessionRuleCase(
                "a rollback after a failure",
                failed,
                ClientStatement.RollBack,
                SessionStep.RollBackTransaction(SessionState()),
            ),
            SessionRuleCase(
                "a rollback outside a transaction",
                SessionState(),
                ClientStatement.RollBack,
                error = ErrorKind.MALFORMED_REQUEST,
            ),
            SessionRuleCase(
                "setting a value",
                SessionState(),
                ClientStatement.SetValue("a", "1"),
                SessionStep.Acknowledge(SessionState(values = persistentMapOf("a" to "1"))),
            ),
            SessionRuleCase(
                "preparing a statement",
                SessionState(),
                ClientStatement.Prepare("s1", preparedRead),
                SessionStep.Acknowledge(prepared),
            ),
            SessionRuleCase(
                "closing a prepared statement",
                prepared,
                ClientStatement.ClosePrepared("s1"),
                SessionStep.Acknowledge(SessionState()),
            ),
            SessionRuleCase(
                "running a prepared statement",
                prepared,
                ClientStatement.Execute("s1", "4"),
                SessionStep.RunOutsideTransaction(DataStatement.Prepared(preparedRead, "4")),
            ),
            SessionRuleCase(
                "running an unknown prepared statement",
                prepared,
                ClientStatement.Execute("s2", "4"),
                error = ErrorKind.PREPARED_UNKNOWN,
            ),
            SessionRuleCase(
                "text that could not be parsed",
                SessionState(),
                ClientStatement.Unreadable("?"),
                error = ErrorKind.MALFORMED_REQUEST,
            ),
        )
    }
}
