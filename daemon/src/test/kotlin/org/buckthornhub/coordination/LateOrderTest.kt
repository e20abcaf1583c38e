package org.buckthornhub.coordination

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverSettings
import org.buckthornhub.failover.InstancePromoter
import org.buckthornhub.failover.InstanceStatus
import org.buckthornhub.failover.PromotionOutcome
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
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Orders to promote that are carried out after the answers to newer ones. */
internal class LateOrderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a late order does not replace the primary of a newer one`(case: LateOrderCase) = runTest {
        lateinit var coordinator: CoordinatorTask
        var announced = 1L
        fun announce(record: InstanceRecord) = coordinator.offer(CoordinatorMessage.Announced(record.copy(sequence = ++announced)))
        lateinit var platform: FakePlatform
        platform = FakePlatform(case.answers) { target ->
            val primary = record(target.value).copy(role = TargetRole.PRIMARY)
            announce(primary)
            // Each primary but the last one is shut down once it leads.
            if (platform.orders.size < case.answers.size) announce(primary.copy(isLeaving = true))
        }
        coordinator = coordinator(this, platform)
        received.keys.forEach { announce(record(it)) }
        testScheduler.advanceTimeBy(END_MILLIS)
        runCurrent()
        assertEquals(case.ordered, platform.orders.map { it.first.value })
        platform.catchUp()
        assertEquals(case.ordered.last(), platform.primary?.value, "${platform.orders}")
    }

    private fun coordinator(scope: TestScope, orders: InstancePromoter): CoordinatorTask {
        val clock = object : Clock {
            override fun nowMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = NOW_WALL_MILLIS + scope.currentTime
        }
        val task = CoordinatorTask(
            VmId("c1"),
            FakeControlLog(),
            survey = { instance, _ -> InstanceStatus(instance.role, Position(Term(1), received.getValue(instance.target.value))) },
            orders = orders,
            stopper = { _, _, _ -> false },
            FailoverSettings(),
            clock,
        )
        return task.apply { start(scope.backgroundScope) }
    }

    private companion object {
        private const val NOW_WALL_MILLIS = 1_790_000_000_000
        private const val HOUR_MILLIS = 3_600_000L
        private const val END_MILLIS = 30_000L

        /** Instances, and what each has received of the log. */
        private val received = mapOf("a" to LogPosition(9), "b" to LogPosition(7), "c" to LogPosition(5))

        private fun record(name: String) = InstanceRecord(
            TargetId(name),
            GroupId("g"),
            "10.0.0.${received.keys.indexOf(name) + 1}:8080",
            ZoneId("a"),
            TargetRole.REPLICA,
            isLeaving = false,
            startedWallMillis = NOW_WALL_MILLIS - HOUR_MILLIS,
            sequence = 1,
        )

        private val lost = PromotionOutcome.UNKNOWN
        private val refused = PromotionOutcome.REFUSED
        private val done = PromotionOutcome.DONE

        @JvmStatic
        fun cases(): List<LateOrderCase> = listOf(
            LateOrderCase("no order is late", listOf("a"), listOf(done)),
            LateOrderCase("repeated, then done", listOf("a", "a"), listOf(lost, done)),
            LateOrderCase("repeated, then refused as the instance is down", listOf("a", "a", "b"), listOf(lost, refused, done)),
            LateOrderCase("two instances are down", listOf("a", "a", "b", "b", "c"), listOf(lost, refused, lost, refused, done)),
            LateOrderCase("repeated, then done, and the primary is shut down", listOf("a", "a", "b"), listOf(lost, done, done)),
        )
    }
}
