package org.buckthornhub.connection

import kotlinx.coroutines.async
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

/** Statements that wait for a connection, or for the answer of an earlier attempt, while the key of their caller changes hands. */
internal class WaitingKeyTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a statement that waits runs for no organisation that has lost the key meanwhile`(case: WaitingKeyCase) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, if (case.hasReplica) listOf(primary, replica) else listOf(primary)).also { it.start() }
        fleet.change(case.initial)
        val holders = List(CONNECTIONS) { fleet.caller() }
        if (case.fault == null) {
            holders.forEach { holder ->
                holder.open("latest", "busy")
                holder.ask(begin)
                holder.ask(ClientStatement.Run(Access.READ, "READ 9"))
            }
        }
        val faulty = if (case.hasReplica) replica else primary
        faulty.fault = { text -> case.fault.takeIf { text == "READ 1" || text.startsWith("WRITE") } }
        val caller = fleet.caller()
        caller.open(case.database, "key")
        case.statements.dropLast(1).forEach { caller.ask(it) }
        val reply = async { caller.ask(case.statements.last()) }
        delay(WAIT_MILLIS)
        faulty.fault = { null }
        fleet.change(case.change)
        if (case.fault == null) holders.first().ask(ClientStatement.RollBack)
        assertEquals(case.answer, (reply.await() as? ClientReply.Failed)?.error?.kind)
        assertEquals(case.ranFor, primary.ran.zip(primary.ranFor).filter { it.first != "READ 9" }.map { it.second.value })
        assertEquals(0, primary.commits)
    }

    private companion object {
        /** Connections that the daemon of the test may have to an instance. */
        const val CONNECTIONS = 2

        /** Less than a statement waits for a connection, and less than an attempt takes; in ms. */
        const val WAIT_MILLIS = 40L
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
        private val begin = ClientStatement.Begin(readOnly = false)
        private val commit = ClientStatement.Commit

        private fun held(holder: String?): RouteTable.() -> RouteTable = {
            copy(
                organisations = listOf("o", "p", "busy").associate { name ->
                    val keys = setOfNotNull("key".takeIf { name == holder }, name).map { KeyDigest.of(ApiKey(it)) }.toSet()
                    OrganisationId(name) to OrganisationAccess(OrganisationId(name), keys, 100.0, 100.0)
                },
            )
        }

        private fun anonymous(isAnonymous: Boolean): RouteTable.() -> RouteTable = {
            copy(routes = routes.mapValues { it.value.copy(isAnonymous = isAnonymous) })
        }

        private infix fun (RouteTable.() -> RouteTable).and(next: RouteTable.() -> RouteTable): RouteTable.() -> RouteTable = {
            this@and(this).next()
        }

        private val own = held("o")
        private val moved = held("p")
        private val withdrawn = held(null)
        private val full = ErrorKind.QUEUE_FULL

        @JvmStatic
        fun cases(): List<WaitingKeyCase> = listOf(
            WaitingKeyCase("a write", listOf(write), moved, full, initial = own),
            WaitingKeyCase("a read of the latest data", listOf(read), moved, full, initial = own),
            WaitingKeyCase("a read of a bounded route", listOf(read), moved, full, database = "bounded", initial = own),
            WaitingKeyCase("the first statement of a transaction", listOf(begin, write), moved, full, initial = own),
            WaitingKeyCase("a commit without statements", listOf(begin, commit), moved, full, initial = own),
            WaitingKeyCase("a write, the key withdrawn", listOf(write), withdrawn, ErrorKind.KEY_UNKNOWN, initial = own),
            WaitingKeyCase(
                "a write, the key withdrawn on an anonymous route",
                listOf(write),
                withdrawn,
                full,
                initial = own and anonymous(true),
            ),
            WaitingKeyCase(
                "a write, the key given out on an anonymous route",
                listOf(write),
                moved,
                full,
                initial =
                withdrawn and anonymous(true),
            ),
            WaitingKeyCase("a read, the key kept", listOf(read), own, answer = null, ranFor = listOf("o"), initial = own),
            WaitingKeyCase(
                "a read, its route no longer anonymous",
                listOf(read),
                anonymous(false),
                answer = null,
                ranFor = listOf("-"),
                initial = withdrawn and anonymous(true),
            ),
            WaitingKeyCase(
                "a read, retried after a silent attempt",
                listOf(read),
                moved,
                ErrorKind.ANSWER_LOST,
                initial = own,
                fault = FakeFault.SILENT,
            ),
            WaitingKeyCase(
                "a read of a bounded route, retried after a silent attempt",
                listOf(read),
                moved,
                ErrorKind.ANSWER_LOST,
                database = "bounded",
                initial = own,
                fault = FakeFault.SILENT,
                hasReplica = true,
            ),
        )
    }
}
