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
    fun `a statement leads to its step`(case: SessionRuleCase) {
        val step = SessionRules.next(case.state, case.statement, nowMillis = 7)
        if (case.refused == null) return assertEquals(case.expected, step)
        assertIs<SessionStep.Refuse>(step)
        assertEquals(case.refused, step.kind)
        assertEquals(case.phaseAfterRefusal ?: case.state.transaction, step.state.transaction)
    }

    @Test
    fun `a session holds a bounded number of names and may still change those it has`() {
        val full = (1..SessionRules.MAX_NAMES).fold(SessionState()) { state, number ->
            assertIs<SessionStep.Acknowledge>(SessionRules.next(state, ClientStatement.SetValue("v$number", "a"), 0)).state
        }
        assertIs<SessionStep.Refuse>(SessionRules.next(full, ClientStatement.SetValue("one more", "a"), 0))
        val changed = assertIs<SessionStep.Acknowledge>(SessionRules.next(full, ClientStatement.SetValue("v1", "b"), 0)).state
        assertEquals("b", changed.values["v1"])
    }

    private companion object {
        private val shape = PreparedStatement(Access.READ, "q1")
        private val prepared = SessionState(prepared = persistentMapOf("s1" to shape))
        private val open = TransactionState.Open(readOnly = false, beganMillis = 3)
        private val inTransaction = SessionState(transaction = open)
        private val failed = SessionState(transaction = TransactionState.Failed)
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val work = TargetWork.Plain(Access.READ, "READ 1")

        @JvmStatic
        fun cases(): List<SessionRuleCase> = listOf(
            SessionRuleCase("a read alone", SessionState(), read, SessionStep.RunAlone(work)),
            SessionRuleCase("a read in a transaction", inTransaction, read, SessionStep.RunInTransaction(work, open)),
            SessionRuleCase("a read after a failure", failed, read, refused = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase(
                "a begin",
                SessionState(),
                ClientStatement.Begin(readOnly = true),
                SessionStep.BeginTransaction(SessionState(transaction = TransactionState.Open(readOnly = true, beganMillis = 7))),
            ),
            SessionRuleCase("a second begin", inTransaction, ClientStatement.Begin(false), refused = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase("a begin after a failure", failed, ClientStatement.Begin(false), refused = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase("a commit", inTransaction, ClientStatement.Commit, SessionStep.CommitTransaction(open)),
            SessionRuleCase("a commit alone", SessionState(), ClientStatement.Commit, refused = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase(
                "a commit after a failure says that nothing is kept",
                failed,
                ClientStatement.Commit,
                refused = ErrorKind.TRANSACTION_ABORTED,
                phaseAfterRefusal = TransactionState.None,
            ),
            SessionRuleCase("a rollback", inTransaction, ClientStatement.RollBack, SessionStep.RollBackTransaction(SessionState())),
            SessionRuleCase(
                "a rollback after a failure",
                failed,
                ClientStatement.RollBack,
                SessionStep.RollBackTransaction(SessionState()),
            ),
            SessionRuleCase("a rollback alone", SessionState(), ClientStatement.RollBack, refused = ErrorKind.MALFORMED_REQUEST),
            SessionRuleCase(
                "a value",
                SessionState(),
                ClientStatement.SetValue("a", "1"),
                SessionStep.Acknowledge(SessionState(values = persistentMapOf("a" to "1"))),
            ),
            SessionRuleCase(
                "a prepared statement",
                SessionState(),
                ClientStatement.Prepare("s1", shape),
                SessionStep.Acknowledge(prepared),
            ),
            SessionRuleCase("its end", prepared, ClientStatement.ClosePrepared("s1"), SessionStep.Acknowledge(SessionState())),
            SessionRuleCase(
                "its run",
                prepared,
                ClientStatement.Execute("s1", "4"),
                SessionStep.RunAlone(TargetWork.Prepared(shape, "4")),
            ),
            SessionRuleCase("a run of another name", prepared, ClientStatement.Execute("s2", "4"), refused = ErrorKind.PREPARED_UNKNOWN),
            SessionRuleCase(
                "text that is no statement",
                SessionState(),
                ClientStatement.Unreadable("?"),
                refused = ErrorKind.MALFORMED_REQUEST,
            ),
        )
    }
}
