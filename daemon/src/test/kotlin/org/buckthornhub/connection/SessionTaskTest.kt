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

/** Sessions with all tasks of a daemon behind them, on virtual time and without a socket. */
internal class SessionTaskTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a session gets true answers`(case: SessionCase) = runTest {
        val leader = FakeInstance("leader", TargetRole.PRIMARY, applied = 7, case.trouble)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = if (case.replicaBehind) 3 else 7, case.replicaTrouble)
        val fleet = FakeFleet(this, listOf(leader, replica)).also { it.start() }
        val caller = fleet.caller()
        assertEquals(ClientReply.Started, caller.open(case.database, "key"))
        val replies = case.statements.map { caller.ask(it) }
        assertEquals(case.answers, replies.map { (it as? ClientReply.Failed)?.error?.kind })
        assertEquals(case.leaderRan, leader.ran)
        assertEquals(case.commits, leader.commits)
    }

    @Test
    fun `a deposed primary is left for the one that leads, and runs nothing`() = runTest {
        val deposed = FakeInstance("deposed", TargetRole.PRIMARY, applied = 7)
        val leader = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(deposed, leader)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        deposed.role = TargetRole.REPLICA
        assertIs<ClientReply.Completed>(caller.ask(read))
        assertIs<ClientReply.Completed>(caller.ask(write))
        assertEquals(emptyList(), deposed.ran)
    }

    @Test
    fun `an idle transaction is rolled back, and its caller hears of it with the next statement`() = runTest {
        val leader = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(leader)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        caller.ask(begin)
        caller.ask(write)
        delay(3_100)
        assertEquals(ErrorKind.TRANSACTION_ABORTED, assertIs<ClientReply.Failed>(caller.ask(ClientStatement.Commit)).error.kind)
        assertEquals(0, leader.commits)
    }

    @Test
    fun `a connection that says nothing is not kept`() = runTest {
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

        private fun onWrite(trouble: FakeTrouble): (String) -> FakeTrouble? = { trouble.takeIf { _ -> it.startsWith("WRITE") } }

        private fun onCommit(trouble: FakeTrouble): (String) -> FakeTrouble? = { trouble.takeIf { _ -> it == "COMMIT" } }

        private val whole = listOf(begin, write, ClientStatement.Commit)

        @JvmStatic
        fun cases(): List<SessionCase> = listOf(
            SessionCase("the latest data comes from the leader", "latest", listOf(read), listOf(null), listOf("READ 1")),
            SessionCase("older data comes from a replica", "bounded", listOf(read), listOf(null), emptyList()),
            SessionCase(
                "data that no replica has comes from the leader",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaBehind = true,
            ),
            SessionCase(
                "a session sees its own write",
                "own",
                listOf(write, read),
                listOf(null, null),
                listOf("WRITE 1 x", "READ 1"),
                commits = 1,
            ),
            SessionCase("a prepared write", "latest", listOf(prepare, execute), listOf(null, null), listOf("q1 1 x"), commits = 1),
            SessionCase("a transaction", "latest", whole, listOf(null, null, null), listOf("WRITE 1 x"), commits = 1),
            SessionCase(
                "a transaction that is rolled back",
                "latest",
                listOf(begin, write, ClientStatement.RollBack),
                listOf(null, null, null),
                listOf("WRITE 1 x"),
            ),
            SessionCase(
                "a write whose answer is lost is in doubt and not sent again",
                "latest",
                listOf(write),
                listOf(ErrorKind.OUTCOME_UNKNOWN),
                listOf("WRITE 1 x"),
                commits = 1,
                trouble = onWrite(FakeTrouble.ANSWER_LOST),
            ),
            SessionCase(
                "a silent leader leaves a write in doubt",
                "latest",
                listOf(write),
                listOf(ErrorKind.OUTCOME_UNKNOWN),
                emptyList(),
                trouble = onWrite(FakeTrouble.SILENT),
            ),
            SessionCase(
                "a busy leader ran nothing",
                "latest",
                listOf(write),
                listOf(ErrorKind.QUEUE_FULL),
                emptyList(),
                trouble = onWrite(FakeTrouble.BUSY),
            ),
            SessionCase(
                "a commit whose answer is lost is in doubt",
                "latest",
                whole,
                listOf(null, null, ErrorKind.OUTCOME_UNKNOWN),
                listOf("WRITE 1 x"),
                commits = 1,
                trouble = onCommit(FakeTrouble.ANSWER_LOST),
            ),
            SessionCase(
                "a transaction that lost its connection keeps nothing",
                "latest",
                whole + ClientStatement.Commit,
                listOf(null, ErrorKind.TRANSACTION_ABORTED, ErrorKind.TRANSACTION_ABORTED, ErrorKind.MALFORMED_REQUEST),
                listOf("WRITE 1 x"),
                trouble = onWrite(FakeTrouble.ANSWER_LOST),
            ),
            SessionCase(
                "a commit of reads whose answer is lost keeps nothing",
                "latest",
                listOf(begin, read, ClientStatement.Commit),
                listOf(null, null, ErrorKind.TRANSACTION_ABORTED),
                listOf("READ 1"),
                trouble = onCommit(FakeTrouble.ANSWER_LOST),
            ),
            SessionCase(
                "a read that a replica lost is read elsewhere",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaTrouble = { FakeTrouble.ANSWER_LOST },
            ),
            SessionCase(
                "a read that failed at a replica is read elsewhere",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaTrouble = { FakeTrouble.FAILED },
            ),
            SessionCase(
                "a silent replica is left for the leader",
                "bounded",
                listOf(read),
                listOf(null),
                listOf("READ 1"),
                replicaTrouble = { FakeTrouble.SILENT },
            ),
        )
    }
}
