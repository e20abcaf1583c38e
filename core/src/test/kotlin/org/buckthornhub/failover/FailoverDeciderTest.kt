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
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class FailoverDeciderTest {
    private val decider = FailoverDecider()

    @ParameterizedTest
    @MethodSource("cases")
    fun `a primary is replaced when necessary, by the replica that received most`(case: FailoverCase) {
        var state = FailoverState()
        var promoted = listOf<String>()
        for (now in 0L..4_000L step 100) {
            val review = decider.decide(state, FailoverMessage.Review(case.records, case.unreachable, listeningSinceMillis = 0), now)
            state = review.state
            for (survey in review.effects.filterIsInstance<FailoverEffect.Survey>()) {
                val answered = decider.decide(
                    state,
                    FailoverMessage.Surveyed(group, survey.target, case.statuses[survey.target.value]),
                    now,
                )
                state = answered.state
                promoted = promoted + answered.effects.filterIsInstance<FailoverEffect.Promote>().map { it.target.value }
            }
            promoted = promoted + review.effects.filterIsInstance<FailoverEffect.Promote>().map { it.target.value }
        }
        assertEquals(listOfNotNull(case.promoted), promoted)
    }

    @Test
    fun `an unanswered order is repeated to the same instance, and after a refusal another instance is surveyed`() {
        val promoting = FailoverState().with(group, FailoverPhase.Promoting(near.target, reason = "test"))
        val unanswered = decider.decide(promoting, FailoverMessage.Ordered(group, near.target, PromotionOutcome.UNKNOWN), 0)
        assertEquals(near.target, assertIs<FailoverEffect.Promote>(unanswered.effects.single()).target)
        val refused = decider.decide(unanswered.state, FailoverMessage.Ordered(group, near.target, PromotionOutcome.REFUSED), 10)
        val again = decider.decide(
            refused.state,
            FailoverMessage.Review(listOf(near, far, primary), setOf(primary.target), listeningSinceMillis = 0),
            20,
        )
        assertEquals(listOf(far.target), again.effects.filterIsInstance<FailoverEffect.Survey>().map { it.target })
    }

    @Test
    fun `a promoted instance has time to announce itself`() {
        val promoting = FailoverState().with(group, FailoverPhase.Promoting(near.target, reason = "test"))
        val done = decider.decide(promoting, FailoverMessage.Ordered(group, near.target, PromotionOutcome.DONE), 0).state
        val review = FailoverMessage.Review(listOf(primary, near, far), setOf(primary.target), listeningSinceMillis = 0)
        assertTrue(decider.decide(done, review, 2_000).effects.isEmpty())
        assertTrue(decider.decide(decider.decide(done, review, 3_000).state, review, 3_100).effects.isNotEmpty())
    }

    @ParameterizedTest
    @MethodSource("leaderlessCases")
    fun `a group without a primary is surveyed after two announcement periods`(case: LeaderlessCase) {
        var state = FailoverState()
        val surveyed = (case.firstReviewMillis..case.firstReviewMillis + 5_000 step 100).firstOrNull { now ->
            val records = if (now < case.primaryUntilMillis) listOf(primary, near, far) else listOf(near, far)
            val decision = decider.decide(state, FailoverMessage.Review(records, emptySet(), listeningSinceMillis = 0), now)
            state = decision.state
            decision.effects.any { it is FailoverEffect.Survey }
        }
        assertEquals(case.surveyedMillis, surveyed)
    }

    private companion object {
        private val group = GroupId("g")
        private val primary = record("leader", TargetRole.PRIMARY)
        private val near = record("near", TargetRole.REPLICA)
        private val far = record("far", TargetRole.REPLICA)

        private fun record(name: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:1", ZoneId("a"), role, isLeaving = false, bornMillis = 1, sequence = 1)

        private fun status(term: Long, index: Long) = InstanceStatus(TargetRole.REPLICA, Position(Term(term), LogPosition(index)))

        private val bothAnswered = mapOf("near" to status(1, 5), "far" to status(1, 7))

        @JvmStatic
        fun leaderlessCases(): List<LeaderlessCase> = listOf(
            LeaderlessCase("no primary was ever announced", firstReviewMillis = 1_500, primaryUntilMillis = 0, surveyedMillis = 2_500),
            LeaderlessCase(
                "the primary has just disappeared",
                firstReviewMillis = 1_500,
                primaryUntilMillis = 2_000,
                surveyedMillis = 4_500,
            ),
            LeaderlessCase("the first check comes late", firstReviewMillis = 9_000, primaryUntilMillis = 0, surveyedMillis = 9_000),
        )

        @JvmStatic
        fun cases(): List<FailoverCase> = listOf(
            FailoverCase("the primary is healthy", listOf(primary, near, far), emptySet(), bothAnswered, promoted = null),
            FailoverCase("most daemons can't reach the primary", listOf(primary, near, far), setOf(primary.target), bothAnswered, "far"),
            FailoverCase("the primary is leaving", listOf(primary.copy(isLeaving = true), near, far), emptySet(), bothAnswered, "far"),
            FailoverCase("the group has no primary for some time", listOf(near, far), emptySet(), bothAnswered, "far"),
            FailoverCase(
                "a newer term takes precedence over a higher index",
                listOf(near, far),
                emptySet(),
                mapOf("near" to status(2, 5), "far" to status(1, 7)),
                "near",
            ),
            FailoverCase(
                "a replica that does not answer is ignored",
                listOf(near, far),
                emptySet(),
                mapOf("near" to status(1, 5), "far" to null),
                "near",
            ),
            FailoverCase("a leaving replica is ignored", listOf(near, far.copy(isLeaving = true)), emptySet(), bothAnswered, "near"),
            FailoverCase("the group has no replicas", listOf(primary), setOf(primary.target), emptyMap(), promoted = null),
        )
    }
}
