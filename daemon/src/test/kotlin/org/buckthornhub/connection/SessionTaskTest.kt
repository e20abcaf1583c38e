package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
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
    fun `a caller whose key or database is gone is turned away, in a transaction too`() = runTest {
        val leader = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(leader)).also { it.start() }
        val (alone, within) = fleet.caller() to fleet.caller()
        alone.open("latest", "key")
        within.open("latest", "key")
        within.ask(begin)
        within.ask(write)
        fleet.change { copy(organisations = emptyMap()) }
        assertEquals(ErrorKind.KEY_UNKNOWN, assertIs<ClientReply.Failed>(alone.ask(read)).error.kind)
        assertEquals(ErrorKind.KEY_UNKNOWN, assertIs<ClientReply.Failed>(within.ask(ClientStatement.Commit)).error.kind)
        delay(10)
        assertTrue(alone.isClosed)
        assertEquals(0, leader.commits)
        assertIs<ClientReply.Ended>(fleet.caller().open("latest", "key"))
        assertIs<ClientReply.Ended>(fleet.caller().open("nowhere", "key"))
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `nothing runs once the proof of keys is too old, also if the VM was suspended meanwhile`(isSuspended: Boolean) = runTest {
        val leader = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(leader)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        val age = SessionSettings().keyFreshMillis + 1
        if (isSuspended) fleet.suspend(age) else delay(age)
        assertEquals(ErrorKind.CONFIGURATION_STALE, assertIs<ClientReply.Failed>(caller.ask(write)).error.kind)
        delay(10)
        assertTrue(caller.isClosed)
        assertEquals(emptyList(), leader.ran)
        fleet.freshen()
        val next = fleet.caller()
        next.open("latest", "key")
        assertIs<ClientReply.Completed>(next.ask(write))
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

    @ParameterizedTest
    @ValueSource(strings = ["latest", "bounded", "own"])
    fun `a caller for whom there is no target hears so before a quarter of the objective is over`(database: String) = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("replica", TargetRole.REPLICA, applied = 7))).also { it.start() }
        val caller = fleet.caller()
        caller.open(database, "key")
        for (statements in listOf(listOf(read), listOf(write), listOf(begin, read))) {
            val askedMillis = currentTime
            val reply = statements.map { caller.ask(it) }.last()
            assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(reply).error.kind)
            assertTrue(currentTime - askedMillis < FakeFleet.OBJECTIVE_MILLIS / 4, "refused after ${currentTime - askedMillis} ms")
            caller.ask(ClientStatement.RollBack)
        }
    }

    @Test
    fun `operations that no target was found for use nothing of the limit`() = runTest {
        val leader = FakeInstance("leader", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(leader)).also { it.start() }
        fleet.change { copy(organisations = organisations.mapValues { it.value.copy(ratePerSecond = 0.1, burst = 40.0) }) }
        val caller = fleet.caller()
        caller.open("latest", "key")
        repeat(10) {
            fleet.freshen()
            assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(write)).error.kind)
            caller.ask(begin)
            assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(read)).error.kind)
            caller.ask(ClientStatement.RollBack)
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a caller that was refused is sent to another daemon if this one is cut off`(isCutOff: Boolean) = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("replica", TargetRole.REPLICA, applied = 7))).also { it.start() }
        fleet.isCutOff = isCutOff
        val caller = fleet.caller()
        caller.open("latest", "key")
        assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(read)).error.kind)
        delay(10)
        assertEquals(isCutOff, caller.isClosed)
    }

    @Test
    fun `a connection that says nothing is not kept`() = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("leader", TargetRole.PRIMARY, applied = 7))).also { it.start() }
        val silent = fleet.caller()
        delay(10_100)
        assertTrue(silent.isClosed)
    }

    @Test
    fun `a route that is gone turns its callers away`() = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("leader", TargetRole.PRIMARY, applied = 7))).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        fleet.change { copy(routes = routes - DatabaseName("latest")) }
        assertEquals(ErrorKind.DATABASE_UNKNOWN, assertIs<ClientReply.Failed>(caller.ask(read)).error.kind)
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
