package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Which answers of an instance count as the position of the primary. */
internal class PositionSourceTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `only answers that a primary alone gives set the position of the primary`(case: PositionSourceCase) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(primary, replica)).also { it.start() }
        val caller = fleet.caller()
        caller.open(case.database, "key")
        case.statements.dropLast(1).forEach { assertIs<ClientReply.Completed>(caller.ask(it)) }
        val before = fleet.newestSample()
        // Two answers in the same millisecond would be one sample.
        delay(1)
        if (case.isReplaced) primary.role = TargetRole.REPLICA
        caller.ask(case.statements.last())
        assertEquals(case.isSample, fleet.newestSample() != before)
    }

    @ParameterizedTest
    @CsvSource("false, true", "true, false")
    fun `a probe sets the position only while its instance is primary`(isReplaced: Boolean, isSample: Boolean) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        delay(400)
        val before = fleet.newestSample()
        if (isReplaced) primary.role = TargetRole.REPLICA
        delay(1_000)
        assertEquals(isSample, fleet.newestSample() != before)
    }

    // Guards against reads on replicas that lack a commit, after a replaced primary has answered the end of a transaction.
    @ParameterizedTest
    @ValueSource(strings = ["COMMIT", "ROLLBACK"])
    fun `the end of a transaction at a replaced primary lets no read run without an older commit`(end: String) = runTest {
        val replaced = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val promoted = FakeInstance("next", TargetRole.REPLICA, applied = 7)
        val behind = FakeInstance("replica", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(replaced, promoted, behind)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        caller.ask(begin)
        caller.ask(read)
        replaced.role = TargetRole.REPLICA
        promoted.role = TargetRole.PRIMARY
        promoted.commit()
        delay(500)
        assertIs<ClientReply.Completed>(caller.ask(if (end == "COMMIT") ClientStatement.Commit else ClientStatement.RollBack))
        delay(1_200)
        val reader = fleet.caller()
        reader.open("bounded", "key")
        reader.ask(ClientStatement.Run(Access.READ, "READ 2"))
        assertEquals(emptyList(), (replaced.ran + behind.ran).filter { it == "READ 2" })
    }

    private companion object {
        private val begin = ClientStatement.Begin(readOnly = false)
        private val beginRead = ClientStatement.Begin(readOnly = true)
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 a")
        private val commit = ClientStatement.Commit
        private val rollBack = ClientStatement.RollBack
        private val prepareRead = ClientStatement.Prepare("s1", PreparedStatement(Access.READ, "READ"))
        private val prepareWrite = ClientStatement.Prepare("s1", PreparedStatement(Access.WRITE, "WRITE"))
        private val execute = ClientStatement.Execute("s1", "1 a")

        @JvmStatic
        fun cases() = listOf(
            case("read of the latest data", isSample = true, read),
            case("write", isSample = true, write),
            case("first read of a transaction", isSample = true, begin, read),
            case("later read of a transaction", isSample = true, begin, read, read),
            case("write in a transaction", isSample = true, begin, read, write),
            case("prepared read in a transaction", isSample = true, prepareRead, begin, read, execute),
            case("prepared write", isSample = true, prepareWrite, execute),
            case("commit with a write", isSample = true, begin, write, commit),
            case("commit with a write before a read", isSample = true, begin, write, read, commit),
            case("commit with a prepared write", isSample = true, prepareWrite, begin, execute, commit),
            case("commit without writes", isSample = false, begin, read, commit),
            case("commit with a prepared read only", isSample = false, prepareRead, begin, execute, commit),
            case("commit without statements, which begins first", isSample = true, begin, commit),
            case("rollback", isSample = false, begin, read, rollBack),
            case("rollback of a write", isSample = false, begin, write, rollBack),
            case("value of the session in a transaction", isSample = false, begin, read, ClientStatement.SetValue("v", "1")),
            replaced("read of the latest data", read),
            replaced("write", write),
            replaced("first read of a transaction", begin, read),
            replaced("later read of a transaction", begin, read, read),
            replaced("write in a transaction", begin, read, write),
            replaced("commit with a write", begin, write, commit),
            replaced("commit without writes", begin, read, commit),
            replaced("commit with a prepared read only", prepareRead, begin, execute, commit),
            replaced("rollback", begin, read, rollBack),
            replaced("rollback of a write", begin, write, rollBack),
            case("read in a read-only transaction", isSample = false, beginRead, read, read, database = "bounded"),
            case("commit of a read-only transaction", isSample = false, beginRead, read, commit, database = "bounded"),
            case("declared read-only, of the latest data: read", isSample = true, beginRead, read, read),
            case("declared read-only, of the latest data: commit", isSample = false, beginRead, read, commit),
        )

        private fun case(name: String, isSample: Boolean, vararg statements: ClientStatement, database: String = "latest") =
            PositionSourceCase("$name, $database", statements.toList(), isReplaced = false, isSample, database)

        private fun replaced(name: String, vararg statements: ClientStatement) =
            PositionSourceCase("$name, at a replaced primary", statements.toList(), isReplaced = true, isSample = false)
    }
}
