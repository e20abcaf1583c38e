package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.InstanceStatus
import org.buckthornhub.fleet.VmId
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

/** Primaries in zones that are evacuated. */
internal class EvacuatedPrimaryTest {
    private val decider = CoordinatorDecider()
    private var state = CoordinatorState()
    private var answers: List<Pair<Long, FailoverMessage.Surveyed>> = emptyList()
    private var promoted: List<String> = emptyList()

    @ParameterizedTest
    @MethodSource("cases")
    fun `a primary in an evacuated zone is replaced, and no instance in one is promoted`(case: EvacuatedPrimaryCase) {
        for (now in 0L..6_000L step 100) {
            val evacuated = if (now >= case.orderedMillis) case.zones.map { ZoneId(it) }.toSet() else emptySet()
            handle(CoordinatorMessage.Tick(isLeader = true, evacuated = evacuated), now, case)
            if (now == 0L) records.forEach { handle(CoordinatorMessage.Announced(it), now, case) }
            val unreachable = if (case.isUnreachable) setOf(TargetId("a")) else emptySet()
            handle(CoordinatorMessage.Reported(ProxyReport(VmId("vm"), unreachable = unreachable)), now, case)
            val (due, later) = answers.partition { it.first <= now }
            answers = later
            due.forEach { handle(CoordinatorMessage.Failover(it.second), now, case) }
        }
        assertEquals(case.promoted, promoted)
    }

    private fun handle(message: CoordinatorMessage, nowMillis: Long, case: EvacuatedPrimaryCase) {
        val decision = decider.decide(state, message, nowMillis)
        state = decision.state
        promoted = promoted + decision.effects.filterIsInstance<FailoverEffect.Promote>().map { it.target.value }
        answers = answers + decision.effects.filterIsInstance<FailoverEffect.Survey>().map {
            val status = InstanceStatus(TargetRole.REPLICA, Position(Term(1), LogPosition(received.getValue(it.target.value))))
            nowMillis + case.surveyMillis to FailoverMessage.Surveyed(it.group, it.target, status)
        }
    }

    private companion object {
        private val received = mapOf("a" to 9L, "b" to 5L, "c" to 7L)
        private val records = received.keys.map {
            val role = if (it == "a") TargetRole.PRIMARY else TargetRole.REPLICA
            InstanceRecord(
                TargetId(it),
                GroupId("g"),
                "10.0.0.${received[it]}:1",
                ZoneId(it),
                role,
                isLeaving = false,
                startedWallMillis = 1,
                sequence = 1,
            )
        }

        @JvmStatic
        fun cases(): List<EvacuatedPrimaryCase> = listOf(
            EvacuatedPrimaryCase("no zone", emptySet(), promoted = emptyList()),
            EvacuatedPrimaryCase("the primary's zone", setOf("a"), promoted = listOf("c")),
            EvacuatedPrimaryCase("the zone of a replica", setOf("c"), promoted = emptyList()),
            EvacuatedPrimaryCase("a zone that is not known", setOf("x"), promoted = emptyList()),
            EvacuatedPrimaryCase("the primary's zone and that of the best replica", setOf("a", "c"), promoted = listOf("b")),
            EvacuatedPrimaryCase("all zones: the primary keeps its role", setOf("a", "b", "c"), promoted = emptyList()),
            EvacuatedPrimaryCase(
                "the primary is lost, then the best replica's zone",
                setOf("c"),
                isUnreachable = true,
                promoted = listOf("c"),
            ),
            EvacuatedPrimaryCase(
                "the order comes while candidates are surveyed",
                setOf("c"),
                orderedMillis = 1_700,
                isUnreachable = true,
                surveyMillis = 300,
                promoted = listOf("b"),
            ),
        )
    }
}
