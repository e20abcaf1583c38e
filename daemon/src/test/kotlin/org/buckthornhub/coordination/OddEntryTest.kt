package org.buckthornhub.coordination

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverSettings
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.limit.FakeControlLog
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals

/** Many running instances, and one entry of another writer among them. */
internal class OddEntryTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an odd entry does not keep the directory from following the running instances`(case: OddEntryCase) = runTest {
        val random = Random(SEED)
        for (arrival in arrivals) {
            val coordinator = coordinator(this)
            val odd = case.change(instance(random.nextInt(INSTANCES)).copy(sequence = 2))
            (0 until INSTANCES).forEach { coordinator.offer(CoordinatorMessage.Announced(instance(it))) }
            coordinator.offer(arrival(odd))
            val changed = (0 until INSTANCES).map { instance(it).copy(sequence = 3, isLeaving = random.nextBoolean()) }
            changed.shuffled(random).forEach { coordinator.offer(CoordinatorMessage.Announced(it)) }
            runCurrent()
            assertEquals(changed.toSet(), coordinator.current().directory.records.values.toSet())
        }
    }

    private fun coordinator(scope: TestScope): CoordinatorTask {
        val clock = object : Clock {
            override fun nowMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = NOW_WALL_MILLIS + scope.currentTime
        }
        val task = CoordinatorTask(
            VmId("c1"),
            FakeControlLog(),
            survey = { _, _ -> null },
            orders = { _, _, _, _ -> PromotionOutcome.UNKNOWN },
            stopper = { _, _, _ -> false },
            FailoverSettings(),
            clock,
        )
        return task.apply { start(scope.backgroundScope) }
    }

    private companion object {
        private const val NOW_WALL_MILLIS = 1_790_000_000_000
        private const val HOUR_MILLIS = 3_600_000L
        private const val INSTANCES = 60
        private const val SEED = 29

        private val arrivals: List<(InstanceRecord) -> CoordinatorMessage> = listOf(
            { CoordinatorMessage.Announced(it) },
            { CoordinatorMessage.Reported(ProxyReport(VmId("vm1"), instances = listOf(it))) },
        )

        private fun instance(number: Int) = InstanceRecord(
            target = TargetId("i-$number"),
            group = GroupId("g${number / 3}"),
            address = "10.0.0.$number:8080",
            zone = ZoneId("a"),
            role = if (number % 3 == 0) TargetRole.PRIMARY else TargetRole.REPLICA,
            isLeaving = false,
            startedWallMillis = NOW_WALL_MILLIS - HOUR_MILLIS - number,
            sequence = 1,
        )

        @JvmStatic
        fun cases(): List<OddEntryCase> = listOf(
            OddEntryCase("the largest start time") { copy(startedWallMillis = Long.MAX_VALUE) },
            OddEntryCase("the largest start time, at the address of an instance") {
                copy(target = TargetId("odd"), startedWallMillis = Long.MAX_VALUE)
            },
            OddEntryCase("a start time in microseconds, at the address of an instance") {
                copy(target = TargetId("odd"), startedWallMillis = startedWallMillis * 1_000)
            },
            OddEntryCase("the largest sequence") { copy(sequence = Long.MAX_VALUE) },
            OddEntryCase("a sequence beyond 32 bits") { copy(sequence = 1L shl 32) },
            OddEntryCase("a negative start time and sequence") { copy(startedWallMillis = -1, sequence = -1) },
            OddEntryCase("a line feed in the group") {
                copy(target = TargetId("odd"), address = "10.0.1.1:1", group = GroupId("g0\nQUERY"))
            },
            OddEntryCase("a line feed in the id") { copy(target = TargetId("odd\n"), address = "10.0.1.1:1") },
            OddEntryCase("a group of 200,000 characters") {
                copy(target = TargetId("odd"), address = "10.0.1.1:1", group = GroupId("g".repeat(200_000)))
            },
            OddEntryCase("a port out of range") { copy(target = TargetId("odd"), address = "10.0.1.1:99999") },
            OddEntryCase("a port too large for a number") { copy(target = TargetId("odd"), address = "10.0.1.1:99999999999") },
            OddEntryCase("a port out of range, from the id of an instance") {
                copy(
                    address = "10.0.1.1:99999",
                    startedWallMillis =
                    startedWallMillis + 1,
                )
            },
            OddEntryCase("no start time, at the address of an instance") { copy(target = TargetId("odd"), startedWallMillis = 0) },
        )
    }
}
