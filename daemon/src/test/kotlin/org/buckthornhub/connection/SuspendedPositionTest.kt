package org.buckthornhub.connection

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Reads by a daemon that was suspended, while another daemon committed. */
internal class SuspendedPositionTest {
    @ParameterizedTest
    @CsvSource("0, 1", "4000, 0")
    fun `a position learned before a suspension does not make a replica recent enough`(suspendedMillis: Long, ranOnReplica: Int) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = 7)
        val fleet = FakeFleet(this, listOf(primary, replica)).also { it.start() }
        val caller = fleet.caller()
        caller.open("bounded", "key")
        caller.ask(ClientStatement.Run(Access.READ, "READ 1"))
        primary.commit()
        fleet.suspend(suspendedMillis)
        fleet.confirmConfiguration()
        val before = replica.ran.size
        assertIs<ClientReply.Completed>(caller.ask(ClientStatement.Run(Access.READ, "READ 2")))
        assertEquals(ranOnReplica, replica.ran.size - before)
    }

    @ParameterizedTest
    @MethodSource("heldUp")
    fun `an answer that a suspension held up makes no position younger than it is`(case: HeldUpCase) = runTest {
        val primary = FakeInstance("leader", TargetRole.PRIMARY, applied = 7)
        val replica = FakeInstance("replica", TargetRole.REPLICA, applied = 9)
        val fleet = FakeFleet(this, listOf(primary, replica)).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        case.before.forEach { caller.ask(it) }
        var committedMillis: Long? = null
        primary.onAnswer = {
            if (committedMillis == null && case.isHeldUp(it)) {
                committedMillis = fleet.nowMillis() - case.suspendedMillis
                replica.applied = primary.applied
                primary.commit()
                fleet.suspend(case.suspendedMillis)
                fleet.noticeSuspension()
            }
        }
        case.last?.let { caller.ask(it) }
        while (committedMillis == null) delay(1)
        delay(1)
        val sample = assertNotNull(fleet.newestSample())
        assertTrue(sample.position == primary.position || sample.askedMillis <= assertNotNull(committedMillis), "$sample")
        fleet.confirmConfiguration()
        val reader = fleet.caller()
        reader.open("bounded", "key")
        reader.ask(ClientStatement.Run(Access.READ, "READ 2"))
        assertTrue(case.suspendedMillis < MAX_AGE_MILLIS || "READ 2" !in replica.ran)
    }

    private companion object {
        /** Data age that the route "bounded" allows; in ms. */
        private const val MAX_AGE_MILLIS = 1_500L
        private val begin = ClientStatement.Begin(readOnly = false)
        private val read = ClientStatement.Run(Access.READ, "READ 1")
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 a")

        @JvmStatic
        fun heldUp() = listOf(0L, 300L, 4_000L).flatMap { suspendedMillis ->
            listOf(
                HeldUpCase("read of the latest data", emptyList(), read, suspendedMillis) { it is TargetStatement.Begin },
                HeldUpCase("write", emptyList(), write, suspendedMillis) { it is TargetStatement.Run },
                HeldUpCase("read in a transaction", listOf(begin, read), read, suspendedMillis) { it is TargetStatement.Run },
                HeldUpCase("commit", listOf(begin, write), ClientStatement.Commit, suspendedMillis) { it is TargetStatement.Commit },
                HeldUpCase("probe", emptyList(), last = null, suspendedMillis) { it is TargetStatement.Begin },
            )
        }
    }
}
