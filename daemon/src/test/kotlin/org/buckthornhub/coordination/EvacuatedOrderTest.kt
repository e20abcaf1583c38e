package org.buckthornhub.coordination

import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.control.Evacuations
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverSettings
import org.buckthornhub.failover.InstanceStatus
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.limit.FakeControlLog
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

/** An order to evacuate a zone that is committed while the control leader chooses an instance there. */
internal class EvacuatedOrderTest {
    @ParameterizedTest
    @CsvSource("a, b", "b, a", "c, a")
    fun `no instance of the zone is ordered to lead`(zone: String, promoted: String) = runTest {
        var state = ControlState(routeTable = FakeControlLog.TABLE)
        val log = object : ControlLog by FakeControlLog() {
            override val state = StateSource { state }
        }
        val clock = object : Clock {
            override fun nowMillis(): Long = currentTime

            override fun wallMillis(): Long = NOW_WALL_MILLIS + currentTime
        }
        val platform = FakePlatform(listOf(PromotionOutcome.DONE)) {}
        val coordinator = CoordinatorTask(
            VmId("c1"),
            log,
            survey = { instance, _ ->
                // After the last tick before the choice.
                state = state.copy(evacuations = Evacuations(setOf(ZoneId(zone)), 1))
                InstanceStatus(instance.role, Position(Term(1), LogPosition(received.getValue(instance.target.value))))
            },
            orders = platform,
            stopper = { _, _, _ -> false },
            FailoverSettings(),
            clock,
        )
        coordinator.start(backgroundScope)
        received.keys.forEach { coordinator.offer(CoordinatorMessage.Announced(record(it))) }
        testScheduler.advanceTimeBy(END_MILLIS)
        runCurrent()
        assertEquals(listOf(promoted), platform.orders.map { it.first.value })
    }

    private companion object {
        private const val NOW_WALL_MILLIS = 1_790_000_000_000
        private const val END_MILLIS = 5_000L

        /** Instances in zones of their names, and what each has received of the log. */
        private val received = mapOf("a" to 9L, "b" to 7L, "c" to 5L)

        private fun record(name: String) = InstanceRecord(
            TargetId(name),
            GroupId("g"),
            "10.0.0.${received[name]}:8080",
            ZoneId(name),
            TargetRole.REPLICA,
            isLeaving = false,
            startedWallMillis = NOW_WALL_MILLIS - 1,
            sequence = 1,
        )
    }
}
