package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.InstanceStatus
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** A stray heartbeat that made the control leader replace the healthy primary of somebody else's service. */
internal class ForeignGroupTest {
    private val decider = CoordinatorDecider()
    private var state = CoordinatorState()
    private var asked = emptySet<String>()
    private var promoted = emptySet<String>()

    @ParameterizedTest
    @MethodSource("cases")
    fun `only instances of groups that the table names are asked and promoted`(case: ForeignGroupCase) {
        for (now in 0L..6_000L step 100) {
            val groups = case.groups?.map { GroupId(it) }?.toSet()
            handle(CoordinatorMessage.Tick(isLeader = true, groups = groups), now)
            if (now == 2_000L) case.announced.forEach { handle(CoordinatorMessage.Announced(it), now) }
        }
        assertEquals(case.promoted, promoted)
        assertEquals(case.promoted, asked)
        assertEquals(case.known, state.directory.records.keys.map { it.value }.toSet())
    }

    private fun handle(message: CoordinatorMessage, nowMillis: Long) {
        val decision = decider.decide(state, message, nowMillis)
        state = decision.state
        for (effect in decision.effects) {
            if (effect is FailoverEffect.Promote) promoted = promoted + effect.target.value
            if (effect is FailoverEffect.Survey) {
                asked = asked + effect.target.value
                val status = InstanceStatus(TargetRole.REPLICA, Position(Term(1), LogPosition(5)))
                handle(CoordinatorMessage.Failover(FailoverMessage.Surveyed(effect.group, effect.target, status)), nowMillis)
            }
        }
    }

    private companion object {
        fun record(name: String, group: String, address: String = "10.0.0.1:$name", startedMillis: Long = 1) = InstanceRecord(
            TargetId(name),
            GroupId(group),
            address,
            ZoneId("a"),
            TargetRole.REPLICA,
            isLeaving = false,
            startedMillis,
            sequence = 1,
        )

        val own = record("1", "g")
        val foreign = record("2", "other")

        @JvmStatic
        fun cases(): List<ForeignGroupCase> = listOf(
            ForeignGroupCase("a group of the table", setOf("g"), listOf(own), promoted = setOf("1")),
            ForeignGroupCase("a group that it does not name", setOf("g"), listOf(foreign), promoted = emptySet()),
            ForeignGroupCase("one of each", setOf("g"), listOf(foreign, own), promoted = setOf("1")),
            ForeignGroupCase("no group is named", emptySet(), listOf(own), promoted = emptySet()),
            ForeignGroupCase("nothing is known of a table", groups = null, listOf(own, foreign), promoted = setOf("1", "2")),
            ForeignGroupCase(
                "a foreign one that claims the address of an own one",
                setOf("g"),
                listOf(own, record("2", "other", own.address, startedMillis = 2)),
                promoted = setOf("1"),
                known = setOf("1"),
            ),
            ForeignGroupCase(
                "an own one at the address of a foreign one",
                setOf("g"),
                listOf(foreign, record("1", "g", foreign.address, startedMillis = 2)),
                promoted = setOf("1"),
                known = setOf("1"),
            ),
        )
    }
}
