package org.buckthornhub.promotion

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Checks which instance is promoted, and when none may be. */
internal class SafeCandidatePolicyTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the chosen instance has every acknowledged write`(case: CandidateCase) {
        val policy = SafeCandidatePolicy(PromotionSettings(requireMajority = case.requireMajority))
        val promotion =
            Promotion(
                group,
                case.reason,
                Term(3),
                Promotion.Step.SURVEY,
                sinceMillis = 0,
                requestedTarget = case.requested?.let { TargetId(it) },
            )
        val chosen = policy.choose(promotion, leadership, case.answers.map { leadership.withoutLostEntries(it) }, case.groupSize)
        assertEquals(case.chosen, chosen?.target?.value)
    }

    private companion object {
        private val group = GroupId("ledger")
        private val leadership =
            GroupLeadership(
                group = group,
                term = Term(3),
                primary = TargetId("t0"),
                termStart = LogPosition(20),
                earlierStarts = persistentMapOf(Term(1) to LogPosition(0), Term(2) to LogPosition(10)),
            )

        @JvmStatic
        fun cases(): List<CandidateCase> = listOf(
            CandidateCase("both replicas answer", listOf(replica("t1", 25), replica("t2", 27)), chosen = "t2"),
            CandidateCase("only one replica answers", listOf(replica("t1", 25)), chosen = null),
            CandidateCase("no instance answers", emptyList(), chosen = null),
            CandidateCase(
                "only one replica answers, no majority required",
                listOf(replica("t1", 25)),
                chosen = "t1",
                requireMajority = false,
            ),
            CandidateCase("the only replica of two instances", listOf(replica("t1", 25)), chosen = "t1", groupSize = 2),
            CandidateCase(
                "three replicas of five instances",
                listOf(replica("t1", 25), replica("t2", 2), replica("t3", 3)),
                null,
                groupSize = 5,
            ),
            CandidateCase("the primary and a replica at the same position", listOf(primary(25), replica("t1", 25)), chosen = "t1"),
            CandidateCase("the primary and a replica behind it", listOf(primary(26), replica("t1", 25)), chosen = null),
            CandidateCase("the restarted primary and a replica behind it", listOf(restarted(26), replica("t1", 25)), chosen = "t0"),
            CandidateCase(
                "equal positions, one replica is leaving",
                listOf(replica("t1", 25).copy(leaving = true), replica("t2", 25)),
                chosen = "t2",
            ),
            CandidateCase("lost entries of an old term are ignored", listOf(replica("t1", 99, term = 1), replica("t2", 12)), chosen = "t2"),
            CandidateCase("a newer term alone does not win", listOf(replica("t1", 3), replica("t2", 15, term = 2)), "t2"),
            CandidateCase(
                "the requested target has caught up",
                listOf(primary(25), replica("t1", 25), replica("t2", 25)),
                "t2",
                requested = "t2",
                reason = planned,
            ),
            CandidateCase(
                "the requested target is behind",
                listOf(primary(25), replica("t1", 25), replica("t2", 24)),
                null,
                requested = "t2",
                reason = planned,
            ),
            CandidateCase(
                "a switchover without an answer from the primary",
                listOf(replica("t1", 25), replica("t2", 25)),
                null,
                requested = "t2",
                reason = planned,
            ),
        )

        private val planned = PromotionReason.OPERATOR

        private fun replica(name: String, received: Long, term: Long = 3) =
            TargetReport(TargetId(name), group, name, TargetRole.REPLICA, Term(term), LogPosition(received))

        private fun primary(received: Long) = replica("t0", received).copy(role = TargetRole.PRIMARY)

        private fun restarted(received: Long) = replica("t0", received)
    }
}
