package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Sessions against all tasks of a daemon, in virtual time and without sockets. */
internal class SessionTaskTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `answers match what ran on the instances`(case: SessionCase) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7, case.fault)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = if (case.replicaBehind) 3 else 7, case.replicaFault)
        val fleet = FakeFleet(this, listOf(primary, replica)).also { it.start() }
        val caller = fleet.caller()
        assertEquals(ClientReply.Started, caller.open(case.database, "key"))
        val replies = case.statements.map { caller.ask(it) }
        assertEquals(case.answers, replies.map { (it as? ClientReply.Failed)?.error?.kind })
        assertEquals(case.primaryRan, primary.ran)
        assertEquals(case.commits, primary.commits)
    }

    @Test
    fun `requests move from a deposed primary to the new one, and the deposed one runs nothing`() = runTest {
        val deposed = FakeInstance("deposed", TargetRole.PRIMARY, applied = 7)
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(deposed, primary)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        deposed.role = TargetRole.REPLICA
        assertIs<ClientReply.Completed>(caller.ask(read))
        assertIs<ClientReply.Completed>(caller.ask(write))
        assertEquals(emptyList(), deposed.ran)
    }

    @Test
    fun `an idle transaction is rolled back, and the next statement reports the abort`() = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        caller.ask(begin)
        caller.ask(write)
        delay(3_100)
        assertEquals(ErrorKind.TRANSACTION_ABORTED, assertIs<ClientReply.Failed>(caller.ask(ClientStatement.Commit)).error.kind)
        assertEquals(0, primary.commits)
    }

    @Test
    fun `a connection that sends no request is closed`() = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("leader", TargetRole.PRIMARY, applied = 7))).also { it.start() }
        val silent = fleet.caller()
        delay(10_100)
        assertTrue(silent.isClosed)
    }

    private companion object {
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
        private val begin = ClientStatement.Begin(readOnly = false)
        private val prepare = ClientStatement.Prepare("s1", PreparedStatement(Access.WRITE, "q1"))
        private val execute = ClientStatement.Execute("s1", "1 x")

        private fun onWrite(fault: FakeFault): (String) -> FakeFault? = { fault.takeIf { _ -> it.startsWith("WRITE") } }

        private fun onCommit(fault: FakeFault): (String) -> FakeFault? = { fault.takeIf { _ -> it == "COMMIT" } }

        private val wholeTransaction = listOf(begin, write, ClientStatement.Commit)

        @JvmStatic
        fun cases(): List<SessionCase> = listOf(
            SessionCase("a read of the latest data runs on the primary", "latest", listOf(read), listOf(null), listOf("READ 1")),
            SessionCase("a read with a staleness bound runs on a replica", "bounded", listOf(read), listOf(null), emptyList()),
            SessionCase(
                "a read that no replica is recent enough for runs on the primary",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaBehind = true,
            ),
            SessionCase(
                "a session reads its own write",
                "own",
                listOf(write, read),
                listOf(null, null),
                listOf("WRITE 1 x", "READ 1"),
                commits = 1,
            ),
            SessionCase("a prepared write", "latest", listOf(prepare, execute), listOf(null, null), listOf("q1 1 x"), commits = 1),
            SessionCase("a transaction", "latest", wholeTransaction, listOf(null, null, null), listOf("WRITE 1 x"), commits = 1),
            SessionCase(
                "a transaction that is rolled back",
                "latest",
                listOf(begin, write, ClientStatement.RollBack),
                listOf(null, null, null),
                listOf("WRITE 1 x"),
            ),
            SessionCase(
                "a write whose answer is lost has an unknown outcome and is not sent again",
                "latest",
                listOf(write),
                listOf(ErrorKind.OUTCOME_UNKNOWN),
                listOf("WRITE 1 x"),
                commits = 1,
                fault = onWrite(FakeFault.ANSWER_LOST),
            ),
            SessionCase(
                "a write that the primary does not answer has an unknown outcome",
                "latest",
                listOf(write),
                listOf(ErrorKind.OUTCOME_UNKNOWN),
                emptyList(),
                fault = onWrite(FakeFault.SILENT),
            ),
            SessionCase(
                "a write that the primary refuses as busy does not run",
                "latest",
                listOf(write),
                listOf(ErrorKind.QUEUE_FULL),
                emptyList(),
                fault = onWrite(FakeFault.BUSY),
            ),
            SessionCase(
                "a commit whose answer is lost has an unknown outcome",
                "latest",
                wholeTransaction,
                listOf(null, null, ErrorKind.OUTCOME_UNKNOWN),
                listOf("WRITE 1 x"),
                commits = 1,
                fault = onCommit(FakeFault.ANSWER_LOST),
            ),
            SessionCase(
                "a transaction that loses its connection is aborted",
                "latest",
                wholeTransaction + ClientStatement.Commit,
                listOf(null, ErrorKind.TRANSACTION_ABORTED, ErrorKind.TRANSACTION_ABORTED, ErrorKind.MALFORMED_REQUEST),
                listOf("WRITE 1 x"),
                fault = onWrite(FakeFault.ANSWER_LOST),
            ),
            SessionCase(
                "a read-only commit whose answer is lost is aborted",
                "latest",
                listOf(begin, read, ClientStatement.Commit),
                listOf(null, null, ErrorKind.TRANSACTION_ABORTED),
                listOf("READ 1"),
                fault = onCommit(FakeFault.ANSWER_LOST),
            ),
            SessionCase(
                "a read whose answer from a replica is lost is retried elsewhere",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaFault = { FakeFault.ANSWER_LOST },
            ),
            SessionCase(
                "a read that fails on a replica is retried elsewhere",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaFault = { FakeFault.FAILED },
            ),
            SessionCase(
                "a read that a replica does not answer is retried on the primary",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaFault = { FakeFault.SILENT },
            ),
        )
    }
}
