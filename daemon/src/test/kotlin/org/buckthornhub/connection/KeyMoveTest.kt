package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Sessions whose key is given to another organisation, or withdrawn, between two statements. */
internal class KeyMoveTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no statement runs for an organisation that has lost the caller's key`(case: KeyMoveCase) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val fleet = FakeFleet(this, listOf(primary)).also { it.start() }
        fleet.change(case.initial)
        val caller = fleet.caller()
        assertEquals(ClientReply.Started, caller.open(case.database, "key"))
        case.before.forEach { assertEquals(null, kindOf(caller.ask(it))) }
        fleet.change(case.change)
        val replies = case.after.map { caller.ask(it) }
        assertEquals(case.answers, replies.map { kindOf(it) })
        assertEquals(case.phase, replies.last().let { (it as? ClientReply.Completed)?.phase ?: (it as ClientReply.Failed).phase })
        delay(10)
        assertEquals(case.ranFor, primary.ranFor.map { it.value })
        assertEquals(case.commits, primary.commits)
        assertEquals(0, primary.openTransactions)
    }

    private companion object {
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
        private val begin = ClientStatement.Begin(readOnly = false)
        private val beginRead = ClientStatement.Begin(readOnly = true)
        private val commit = ClientStatement.Commit
        private val rollBack = ClientStatement.RollBack
        private val prepare = ClientStatement.Prepare("s1", PreparedStatement(Access.WRITE, "q1"))
        private val execute = ClientStatement.Execute("s1", "1 x")
        private val setValue = ClientStatement.SetValue("v", "1")
        private val aborted = ErrorKind.TRANSACTION_ABORTED

        private fun held(holder: String?, other: String = "p"): RouteTable.() -> RouteTable = {
            val keys = listOf("o", "p").associate { name ->
                val own = if (name == holder) setOf("key") else emptySet()
                val spare = if (name == other) setOf("spare") else emptySet()
                OrganisationId(name) to access(name, own + spare)
            }
            copy(organisations = keys)
        }

        private fun access(name: String, keys: Set<String>) =
            OrganisationAccess(OrganisationId(name), keys.map { KeyDigest.of(ApiKey(it)) }.toSet(), 100.0, 100.0)

        private fun anonymous(isAnonymous: Boolean): RouteTable.() -> RouteTable = {
            copy(routes = routes.mapValues { it.value.copy(isAnonymous = isAnonymous) })
        }

        private infix fun (RouteTable.() -> RouteTable).and(next: RouteTable.() -> RouteTable): RouteTable.() -> RouteTable = {
            this@and(this).next()
        }

        private val moved = held("p")
        private val withdrawn = held(null)

        @JvmStatic
        fun cases(): List<KeyMoveCase> = inTransaction() + onAnonymousRoutes() + goingOn()

        private fun inTransaction() = listOf(
            KeyMoveCase("a write", listOf(begin, write), moved, listOf(write), listOf(aborted), SessionPhase.FAILED, listOf("o")),
            KeyMoveCase("a read", listOf(begin, write), moved, listOf(read), listOf(aborted), SessionPhase.FAILED, listOf("o")),
            KeyMoveCase("a commit", listOf(begin, write), moved, listOf(commit), listOf(aborted), SessionPhase.IDLE, listOf("o")),
            KeyMoveCase(
                "a commit without writes",
                listOf(begin, read),
                moved,
                listOf(commit),
                listOf(aborted),
                SessionPhase.IDLE,
                listOf("o"),
            ),
            KeyMoveCase("the first statement", listOf(begin), moved, listOf(write), listOf(aborted), SessionPhase.FAILED, emptyList()),
            KeyMoveCase(
                "a commit without statements",
                listOf(begin),
                moved,
                listOf(commit),
                listOf(aborted),
                SessionPhase.IDLE,
                emptyList(),
            ),
            KeyMoveCase("a rollback", listOf(begin, write), moved, listOf(rollBack), listOf(null), SessionPhase.IDLE, listOf("o")),
            KeyMoveCase(
                "a prepared write with a value of the session",
                listOf(setValue, prepare, begin, execute),
                moved,
                listOf(execute),
                listOf(aborted),
                SessionPhase.FAILED,
                listOf("o"),
            ),
            KeyMoveCase(
                "a read-only transaction of a bounded route",
                listOf(beginRead, read),
                moved,
                listOf(read),
                listOf(aborted),
                SessionPhase.FAILED,
                listOf("o"),
                database = "bounded",
            ),
            KeyMoveCase(
                "a withdrawn key",
                listOf(begin, write),
                withdrawn,
                listOf(commit),
                listOf(ErrorKind.KEY_UNKNOWN),
                SessionPhase.IDLE,
                listOf("o"),
            ),
            KeyMoveCase(
                "a commit after the abort reports it, and the next transaction runs for the holder",
                listOf(begin, write),
                moved,
                listOf(write, commit, begin, write, commit),
                listOf(aborted, aborted, null, null, null),
                SessionPhase.IDLE,
                listOf("o", "p"),
                commits = 1,
            ),
        )

        private fun onAnonymousRoutes() = listOf(
            KeyMoveCase(
                "a key withdrawn on an anonymous route",
                listOf(begin, write),
                withdrawn,
                listOf(commit),
                listOf(aborted),
                SessionPhase.IDLE,
                listOf("o"),
                initial = anonymous(true),
            ),
            KeyMoveCase(
                "a key given out on an anonymous route",
                listOf(begin, write),
                moved,
                listOf(commit),
                listOf(aborted),
                SessionPhase.IDLE,
                listOf("-"),
                initial = anonymous(true) and withdrawn,
            ),
            KeyMoveCase(
                "a key withdrawn while its route becomes anonymous",
                listOf(begin, write),
                withdrawn and anonymous(true),
                listOf(write),
                listOf(aborted),
                SessionPhase.FAILED,
                listOf("o"),
            ),
            KeyMoveCase(
                "a route that ceases to be anonymous under a caller without an organisation",
                listOf(begin, write),
                anonymous(false),
                listOf(write),
                listOf(ErrorKind.KEY_UNKNOWN),
                SessionPhase.FAILED,
                listOf("-"),
                initial = anonymous(true) and withdrawn,
            ),
        )

        private fun goingOn() = listOf(
            KeyMoveCase(
                "another key moves",
                listOf(begin, write),
                held("o", other = "o"),
                listOf(write, commit),
                listOf(null, null),
                SessionPhase.IDLE,
                listOf("o", "o"),
                commits = 1,
                initial = held("o", other = "p"),
            ),
            KeyMoveCase(
                "the route becomes anonymous",
                listOf(begin, write),
                anonymous(true),
                listOf(commit),
                listOf(null),
                SessionPhase.IDLE,
                listOf("o"),
                commits = 1,
            ),
            KeyMoveCase(
                "single statements run for the holder, with the values and prepared names of the session",
                listOf(setValue, prepare, execute, write),
                moved,
                listOf(execute, write, read),
                listOf(null, null, null),
                SessionPhase.IDLE,
                listOf("o", "o", "p", "p", "p"),
                commits = 4,
            ),
        )

        private fun kindOf(reply: ClientReply): ErrorKind? = (reply as? ClientReply.Failed)?.error?.kind
    }
}
