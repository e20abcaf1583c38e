package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A failover of a group with synchronous replicas that promotes an instance without commits that callers were told of. */
internal class SyncFailoverTest {
    private val decider = FailoverDecider()
    private var state = FailoverState()
    private var effects = emptyList<FailoverEffect>()

    @ParameterizedTest
    @MethodSource("cases")
    fun `only an instance that is known to hold every acknowledged commit is promoted`(case: SyncFailoverCase) {
        for (now in 0L..9_000L step 100) {
            val before = case.recordsUntil?.takeIf { now < it.second }?.first
            val unreachable = if (before == null) case.unreachable else emptySet()
            handle(review(before ?: case.records, unreachable, case.syncReplicas), now, case)
        }
        assertEquals(case.promoted, effects.filterIsInstance<FailoverEffect.Promote>().lastOrNull()?.target?.value)
        assertTrue(effects.filterIsInstance<FailoverEffect.Promote>().all { it.target.value in case.refused + setOfNotNull(case.promoted) })
    }

    @Test
    fun `replicas that were paused receive commits again once the group is healthy`() {
        val case = SyncFailoverCase("", listOf(leader, near, far), mapOf("near" to received(7), "far" to busy(5)), promoted = null)
        for (now in 0L..4_000L step 100) handle(review(case.records, setOf(leader.target), 1), now, case)
        assertTrue(effects.filterIsInstance<FailoverEffect.SurveyHolder>().any { it.pauseIn == Term(2) })
        effects = emptyList()
        for (now in 4_100L..5_000L step 100) handle(review(case.records, emptySet(), 1), now, case)
        assertEquals(setOf(near.target, far.target), effects.filterIsInstance<FailoverEffect.Resume>().map { it.target }.toSet())
        effects = emptyList()
        handle(FailoverMessage.Resumed(near.target, isDone = false), 5_100, case)
        for (now in 5_100L..6_000L step 100) handle(review(case.records, emptySet(), 1), now, case)
        assertEquals(listOf(near.target), effects.filterIsInstance<FailoverEffect.Resume>().map { it.target })
    }

    @Test
    fun `an answer to an earlier round counts for nothing`() {
        val case = SyncFailoverCase("", listOf(leader, near, far), mapOf("near" to received(7), "far" to busy(5)), promoted = null)
        for (now in 0L..4_000L step 100) handle(review(case.records, setOf(leader.target), 1), now, case)
        val asked = effects.filterIsInstance<FailoverEffect.SurveyHolder>().filter { it.target == far.target }
        assertEquals(asked.size, asked.map { it.round }.distinct().size)
        for (round in asked.map { it.round }.dropLast(1)) {
            handle(FailoverMessage.HolderAnswered(group, far.target, round, received(5)), 4_000, case)
        }
        assertTrue(effects.none { it is FailoverEffect.Promote })
    }

    private fun handle(message: FailoverMessage, nowMillis: Long, case: SyncFailoverCase) {
        val decision = decider.decide(state, message, nowMillis)
        state = decision.state
        effects = effects + decision.effects
        decision.effects.mapNotNull { answerTo(it, case) }.forEach { handle(it, nowMillis, case) }
    }

    private fun answerTo(effect: FailoverEffect, case: SyncFailoverCase): FailoverMessage? = when (effect) {
        is FailoverEffect.SurveyHolder ->
            FailoverMessage.HolderAnswered(effect.group, effect.target, effect.round, case.answers[effect.target.value])
        is FailoverEffect.Survey -> FailoverMessage.Surveyed(effect.group, effect.target, case.answers[effect.target.value])
        is FailoverEffect.Promote -> {
            val outcome = if (effect.target.value in case.refused) PromotionOutcome.REFUSED else PromotionOutcome.DONE
            FailoverMessage.PromotionAttempted(effect.group, effect.target, outcome)
        }
        else -> null
    }

    private companion object {
        private val group = GroupId("g")
        private val leader = record("leader", TargetRole.PRIMARY)
        private val near = record("near")
        private val far = record("far")
        private val third = record("third")

        private fun record(name: String, role: TargetRole = TargetRole.REPLICA, address: String = "10.0.0.1:${name.length}") =
            InstanceRecord(TargetId(name), group, address, ZoneId("a"), role, isLeaving = false, startedWallMillis = 1, sequence = 1)

        private fun review(records: List<InstanceRecord>, unreachable: Set<TargetId>, syncReplicas: Int) =
            FailoverMessage.Review(records, unreachable, listeningSinceMillis = 0, syncReplicas = mapOf(group to syncReplicas))

        private fun received(index: Long, term: Long = 1) = InstanceStatus(TargetRole.REPLICA, Position(Term(term), LogPosition(index)))

        private fun busy(index: Long) = received(index).copy(isComplete = false)

        private fun InstanceRecord.leaving() = copy(isLeaving = true)

        private fun case(
            name: String,
            near: InstanceStatus?,
            far: InstanceStatus?,
            promoted: String?,
            records: List<InstanceRecord> = listOf(leader, this.near, this.far),
        ) = SyncFailoverCase(name, records, listOfNotNull(near?.let { "near" to it }, far?.let { "far" to it }).toMap(), promoted)

        @JvmStatic
        fun cases(): List<SyncFailoverCase> = answers() + shutdowns() + counts()

        private fun answers() = listOf(
            case("both replicas answer", received(5), received(7), "far"),
            case("the one that received everything is busy", received(5), busy(7), "far"),
            case("the busy one may have received more than the other", received(7), busy(5), promoted = null),
            case("both are busy", busy(7), busy(5), promoted = null),
            case("one does not answer", received(7), null, promoted = null),
            case("none answers", null, null, promoted = null),
            case("the newer term was received by one", received(9, term = 1), received(5, term = 2), "far"),
            case("one answers as a primary", received(5), received(7).copy(role = TargetRole.PRIMARY), promoted = null),
            case("the group has no replica", null, null, promoted = null, listOf(leader)),
        )

        private fun shutdowns() = listOf(
            case("the one with all commits is shutting down", received(5), received(7), "far", listOf(leader, near, far.leaving())),
            case("both hold all, one is shutting down", received(7), received(7), "near", listOf(leader, near, far.leaving())),
            case("one that is shutting down does not answer", received(7), null, promoted = null, listOf(leader, near, far.leaving())),
            case(
                "a planned change, and the holder is leaving too",
                received(5),
                received(7),
                null,
                listOf(leader.leaving(), near, far.leaving()),
            )
                .copy(unreachable = emptySet()),
            case("a planned change", received(7), received(7), "near", listOf(leader.leaving(), near, far.leaving()))
                .copy(unreachable = emptySet()),
            case("a replica has ended, its successor has not announced itself", received(7), null, promoted = null, listOf(leader, near))
                .copy(recordsUntil = listOf(leader, near, far) to 3_000),
            case(
                "its successor has announced itself",
                received(5),
                received(7),
                "far",
                listOf(leader, near, far.copy(startedWallMillis = 2)),
            )
                .copy(recordsUntil = listOf(leader, near, record("older", address = far.address)) to 3_000),
            case("the holder's promotion is refused", received(5), received(7), "far").copy(refused = setOf("far")),
        )

        private fun counts() = listOf(
            case("no synchronous replicas: one answer is enough", received(5), null, "near").copy(syncReplicas = 0),
            case("two of two received each commit: one answer is enough", received(5), null, "near").copy(syncReplicas = 2),
            case("three replicas, one of them silent", received(5), received(7), promoted = null, listOf(leader, near, far, third)),
            case("three replicas, two received each commit", received(5), received(7), "far", listOf(leader, near, far, third))
                .copy(syncReplicas = 2),
            case("the group has no primary", received(5), received(7), "far", listOf(near, far)),
            case(
                "two instances claim to lead, and one is silent",
                received(7),
                null,
                null,
                listOf(leader, near, far.copy(role = TargetRole.PRIMARY)),
            )
                .copy(unreachable = setOf(leader.target, far.target)),
        )
    }
}
