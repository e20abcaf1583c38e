package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Refusals of sessions, and the time that they take. */
internal class SessionRefusalTest {
    @Test
    fun `a caller whose key or database no longer exists is refused, also within a transaction`() = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        val (idle, inTransaction) = fleet.caller() to fleet.caller()
        idle.open("latest", "key")
        inTransaction.open("latest", "key")
        inTransaction.ask(begin)
        inTransaction.ask(write)
        fleet.change { copy(organisations = emptyMap()) }
        assertEquals(ErrorKind.KEY_UNKNOWN, assertIs<ClientReply.Failed>(idle.ask(read)).error.kind)
        assertEquals(ErrorKind.KEY_UNKNOWN, assertIs<ClientReply.Failed>(inTransaction.ask(ClientStatement.Commit)).error.kind)
        delay(10)
        assertTrue(idle.isClosed)
        assertEquals(0, primary.commits)
        assertIs<ClientReply.Ended>(fleet.caller().open("latest", "key"))
        assertIs<ClientReply.Ended>(fleet.caller().open("nowhere", "key"))
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `nothing runs once the proof of keys is too old, also if the VM was suspended meanwhile`(isSuspended: Boolean) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        val age = SessionSettings().keyFreshMillis + 1
        if (isSuspended) fleet.suspend(age) else delay(age)
        assertEquals(ErrorKind.CONFIGURATION_STALE, assertIs<ClientReply.Failed>(caller.ask(write)).error.kind)
        delay(10)
        assertTrue(caller.isClosed)
        assertEquals(emptyList(), primary.ran)
        fleet.confirmConfiguration()
        val next = fleet.caller()
        next.open("latest", "key")
        assertIs<ClientReply.Completed>(next.ask(write))
    }

    @ParameterizedTest
    @ValueSource(strings = ["latest", "bounded", "own"])
    fun `a request without an eligible target is refused within a quarter of the objective`(database: String) = runTest {
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
    fun `operations without an eligible target consume no tokens of the rate limit`() = runTest {
        val primary = FakeInstance("leader", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        fleet.change { copy(organisations = organisations.mapValues { it.value.copy(ratePerSecond = 0.1, burst = 40.0) }) }
        val caller = fleet.caller()
        caller.open("latest", "key")
        repeat(10) {
            fleet.confirmConfiguration()
            assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(write)).error.kind)
            caller.ask(begin)
            assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(read)).error.kind)
            caller.ask(ClientStatement.RollBack)
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a refused caller is disconnected if the daemon is cut off`(isCutOff: Boolean) = runTest {
        val fleet = FakeFleet(this, listOf(FakeInstance("replica", TargetRole.REPLICA, applied = 7))).also { it.start() }
        fleet.isCutOff = isCutOff
        val caller = fleet.caller()
        caller.open("latest", "key")
        assertEquals(ErrorKind.NO_PRIMARY, assertIs<ClientReply.Failed>(caller.ask(read)).error.kind)
        delay(10)
        assertEquals(isCutOff, caller.isClosed)
    }

    @Test
    fun `callers of a removed route are refused`() = runTest {
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
    }
}
