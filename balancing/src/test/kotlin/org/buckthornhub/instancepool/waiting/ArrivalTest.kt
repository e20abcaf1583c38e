package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.ConnectionId
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.instancepool.PoolDecider
import org.buckthornhub.instancepool.PoolEffect
import org.buckthornhub.instancepool.PoolInstance
import org.buckthornhub.instancepool.PoolMessage
import org.buckthornhub.instancepool.PoolSettings
import org.buckthornhub.instancepool.PoolState
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ArrivalTest {
    @ParameterizedTest
    @MethodSource("arrivals")
    fun `a statement is refused on arrival only if it would wait too long or has no place`(case: ArrivalCase) {
        val usual =
            case.holdMillis?.let { persistentMapOf(HoldKind(group, needsPrimary = true) to UsualHold(it, NOW)) } ?: persistentMapOf()
        val state = PoolState(
            persistentMapOf(primary.target to PoolInstance(primary, inUse = persistentMapOf(ConnectionId(1) to OrganisationId("x")))),
            persistentMapOf(group to 1),
            waiting = case.waiting.toPersistentList(),
            waits = WaitingState(holds = HoldTimes(usual = usual)),
        )
        val refused = decider.decide(state, PoolMessage.Acquire(case.arriving), NOW).effects.filterIsInstance<PoolEffect.Refuse>()
        assertEquals(case.refused, refused.singleOrNull()?.let { it.ticket to it.reason })
    }

    // Guards against a herd of callers that return at the same time, and against times that no caller can use.
    @Test
    fun `refused callers return one after the other, and none too late`() {
        val times = generateSequence(ReturnSchedule() to 0L) { (schedule, _) -> schedule.next(NOW, 100.0, 10.0, maxMillis = 500) }
            .drop(1).take(80).map { it.second }.toList()
        assertEquals((100L..500L step 10).toList(), times.take(41))
        assertTrue(times.all { it in 10..500 }, "$times")
        assertTrue(times.drop(41).groupingBy { it / 100 }.eachCount().values.all { it <= 12 }, "the rest is spread evenly: $times")
    }

    @ParameterizedTest(name = "an outage of {0} ms that usually takes {1} ms goes on for {2} ms")
    @CsvSource("0, 500, 500", "300, 500, 200", "490, 500, 245", "2000, 500, 1000", "100, 900, 800")
    fun `callers are told to return when the outage is expected to end`(elapsed: Long, usual: Double, expected: Long) {
        assertEquals(expected, Outages.remainingMillis(elapsed, usual))
    }

    @ParameterizedTest(name = "{0} ms since the operation began, transaction {1}: {2} ms more")
    @CsvSource("0, false, 170", "100, false, 70", "180, false, 25", "0, true, 400", "100, true, 300", "3000, false, 25")
    fun `a statement waits within the objective of the operation, a begun transaction longer`(since: Long, hasBegun: Boolean, more: Long) {
        val terms = WaitTerms(NOW - since, NOW, objectiveMillis = 200, timeoutMillis = 800, hasBegun)
        assertEquals(NOW + more, terms.deadlineMillis(holdMillis = 20.0))
    }

    private companion object {
        private const val NOW = 10_000L
        private val group = GroupId("g")
        private val primary =
            InstanceRecord(TargetId("p"), group, "10.0.0.1:1", ZoneId("a"), TargetRole.PRIMARY, isLeaving = false, 1, 1)
        private val decider = PoolDecider(PoolSettings(ZoneId("a")), WaitingSettings.ADAPTIVE.copy(maxWaiting = 4))

        private fun statement(ticket: Long, organisation: String?, priority: Int = 0, hasBegun: Boolean = false, allowed: Long = 90) =
            PendingConnectionRequest(
                ticket,
                ConnectionRequest(group, organisation?.let { OrganisationId(it) }, ConnectionRequirement.Primary, priority),
                NOW,
                NOW + allowed,
                hasBegun,
            )

        private val two = listOf(statement(1, "a", allowed = 500), statement(2, "b", allowed = 500))
        private val full = listOf(
            statement(1, "a", priority = 1, allowed = 500),
            statement(2, "a", priority = 1, allowed = 500),
            statement(3, "a", allowed = 500),
            statement(4, "b", allowed = 500),
        )

        @JvmStatic
        fun arrivals(): List<ArrivalCase> = listOf(
            ArrivalCase("nothing was measured", two, statement(9, "c"), null, null),
            ArrivalCase("the wait is short enough", two, statement(9, "c"), 20.0, null),
            ArrivalCase("the wait is too long", two, statement(9, "c"), 50.0, 9L to RefusalReason.WAIT_TOO_LONG),
            ArrivalCase(
                "less urgent statements do not count",
                two.map {
                    it.copy(request = it.request.copy(priority = 1))
                },
                statement(9, "c"),
                50.0,
                null,
            ),
            ArrivalCase("a begun transaction goes before the others", two, statement(9, "c", hasBegun = true), 50.0, null),
            ArrivalCase("the daemon's own statements wait", two, statement(9, null), 50.0, null),
            ArrivalCase("full: the least urgent of the most gives way", full, statement(9, "c"), null, 2L to RefusalReason.DISPLACED),
            ArrivalCase("full: an organisation displaces its own", full, statement(9, "a"), null, 2L to RefusalReason.DISPLACED),
            ArrivalCase("full: nothing is less urgent", full, statement(9, "a", priority = 1), null, 9L to RefusalReason.QUEUE_FULL),
            ArrivalCase("full: fewer of its organisation wait", full, statement(9, "c", priority = 1), null, 2L to RefusalReason.DISPLACED),
        )
    }
}
