package org.buckthornhub.evacuation

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.connection.ClientReply
import org.buckthornhub.connection.ClientStatement
import org.buckthornhub.connection.FakeInstance
import org.buckthornhub.control.EvacuationResult
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** From an order at a control VM, through the reports of a daemon and its pool, to the answers to its callers. */
internal class EvacuationFlowTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a statement is served outside the zone or refused as not run, and nothing reaches the zone after the bound`(
        case: EvacuationFlowCase,
    ) = runTest {
        val primary = FakeInstance("a", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("b", TargetRole.REPLICA, applied = 7)
        var lastMillis = emptyMap<String, Long>()
        listOf(primary, replica).forEach { it.onAnswer = { _ -> lastMillis = lastMillis + (it.record.target.value to currentTime) } }
        val fleet = EvacuationFleet(this, listOf(primary, replica)).also { it.start() }
        delay(1_000)
        val caller = fleet.caller()
        assertIs<ClientReply.Started>(caller.open(case.database, "key"))
        case.transaction.forEach { assertIs<ClientReply.Completed>(caller.ask(it)) }
        case.zones.forEach { assertEquals(EvacuationResult.Accepted, fleet.service.order(ZoneId(it), isEvacuated = true)) }
        val orderedMillis = currentTime
        case.during(fleet)
        delay(orderedMillis + case.afterMillis - currentTime)
        val commits = primary.commits + replica.commits
        val reply = caller.ask(case.statement)
        assertEquals(case.error, (reply as? ClientReply.Failed)?.error?.kind, "$reply")
        if (case.error != null) assertEquals(commits, primary.commits + replica.commits, "a refused statement ran")
        if (case.servedBy != null) assertTrue(reply is ClientReply.Completed && case.servedBy in reply.signature.orEmpty(), "$reply")
        delay(orderedMillis + 2 * EvacuationFleet.BOUND_MILLIS - currentTime)
        if (fleet.isPartitioned) return@runTest
        val evacuated = (fleet.service.current() as EvacuationResult.Current).evacuations.zones.map { it.value }
        evacuated.forEach { assertTrue((lastMillis[it] ?: 0) < orderedMillis + EvacuationFleet.BOUND_MILLIS, "$it at ${lastMillis[it]}") }
        listOf(primary, replica).filter { it.record.target.value in evacuated }.forEach { assertEquals(0, it.openTransactions) }
    }

    private companion object {
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
        private val open = listOf(ClientStatement.Begin(readOnly = false), write)
        private val promoteOther: suspend EvacuationFleet.() -> Unit = {
            delay(500)
            promote("b")
        }
        private val revoke: suspend EvacuationFleet.() -> Unit = {
            delay(3_000)
            service.order(ZoneId("a"), isEvacuated = false)
        }

        @JvmStatic
        fun cases(): List<EvacuationFlowCase> = singleStatements() + transactions()

        private fun singleStatements() = listOf(
            EvacuationFlowCase("no order", emptyList(), 100, servedBy = "a"),
            EvacuationFlowCase("a primary is used until another leads", listOf("a"), 2_000, servedBy = "a"),
            EvacuationFlowCase("a primary is used for half of the bound", listOf("a"), 2_600, error = ErrorKind.NO_PRIMARY),
            EvacuationFlowCase("another instance leads", listOf("a"), 800, during = promoteOther, servedBy = "b"),
            EvacuationFlowCase("another instance leads, long after", listOf("a"), 9_000, during = promoteOther, servedBy = "b"),
            EvacuationFlowCase("the order is revoked", listOf("a"), 3_100, during = revoke, servedBy = "a"),
            EvacuationFlowCase("a read of a replica's zone", listOf("b"), 100, read, "bounded", servedBy = "a"),
            EvacuationFlowCase("a read while the primary's zone is evacuated", listOf("a"), 3_000, read, "bounded", servedBy = "b"),
            EvacuationFlowCase("a read right after the order", listOf("a"), 50, read, "bounded", servedBy = "b"),
            EvacuationFlowCase("a read right after all zones", listOf("a", "b"), 50, read, "bounded", error = ErrorKind.QUEUE_FULL),
            EvacuationFlowCase("a read with all zones evacuated", listOf("a", "b"), 3_000, read, "bounded", error = ErrorKind.NO_PRIMARY),
            EvacuationFlowCase("a write with all zones evacuated", listOf("a", "b"), 3_000, error = ErrorKind.NO_PRIMARY),
            EvacuationFlowCase("an unknown zone", listOf("x"), 3_000, servedBy = "a"),
            EvacuationFlowCase(
                "a daemon that is partitioned from the quorum before the order",
                listOf("a"),
                4_500,
                during = { isPartitioned = true },
                error = ErrorKind.CONFIGURATION_STALE,
            ),
        )

        private fun transactions() = listOf(
            EvacuationFlowCase("a commit in time", listOf("a"), 2_000, ClientStatement.Commit, transaction = open),
            EvacuationFlowCase("a statement in time", listOf("a"), 3_500, write, transaction = open),
            EvacuationFlowCase(
                "a commit too late",
                listOf("a"),
                4_200,
                ClientStatement.Commit,
                transaction = open,
                error = ErrorKind.TRANSACTION_ABORTED,
            ),
            EvacuationFlowCase(
                "a statement too late",
                listOf("a"),
                6_000,
                write,
                transaction = open,
                error = ErrorKind.TRANSACTION_ABORTED,
            ),
            EvacuationFlowCase(
                "a commit too late, with another primary",
                listOf("a"),
                6_000,
                ClientStatement.Commit,
                transaction = open,
                during = promoteOther,
                error = ErrorKind.TRANSACTION_ABORTED,
            ),
            EvacuationFlowCase(
                "a transaction without a target is begun elsewhere",
                listOf("a"),
                6_000,
                write,
                transaction = open.take(1),
                during = promoteOther,
                servedBy = "b",
            ),
            EvacuationFlowCase("a rollback too late", listOf("a"), 6_000, ClientStatement.RollBack, transaction = open),
        )
    }
}
