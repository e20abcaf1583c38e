package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetRole

/**
 * Chooses the instance with the newest position, if it is certain to have every acknowledged write.
 *
 * A write is acknowledged once the primary and one more instance have received it. The newest of all other instances
 * therefore has every acknowledged write, and so has any instance that has received as much as the primary itself.
 */
public class SafeCandidatePolicy(private val settings: PromotionSettings) : CandidatePolicy {
    override fun choose(promotion: Promotion, current: GroupLeadership, answers: List<TargetReport>, groupSize: Int): TargetReport? {
        val primary = answers.firstOrNull { it.target == current.primary && it.role == TargetRole.PRIMARY && it.term == current.term }
        // A former primary that restarted as a replica still has its writes and may be chosen again.
        val others = answers.filter { it.target != primary?.target }
        val newest = others.maxWithOrNull(byPreference) ?: return null
        if (promotion.isPlanned) {
            return others.filter { isEligible(it, promotion) && hasAllEntries(it, primary) }.maxWithOrNull(byPreference)
        }
        val haveAllReplicasAnswered = others.size >= groupSize - 1
        return newest.takeIf { haveAllReplicasAnswered || hasAllEntries(it, primary) || !settings.requireMajority }
    }

    private fun isEligible(candidate: TargetReport, promotion: Promotion): Boolean =
        if (promotion.requestedTarget == null) !candidate.leaving else candidate.target == promotion.requestedTarget

    private fun hasAllEntries(candidate: TargetReport, primary: TargetReport?): Boolean =
        primary != null && candidate.received >= primary.received

    private companion object {
        val byPreference: Comparator<TargetReport> =
            compareBy<TargetReport> { it.received }.thenBy { !it.leaving }.thenByDescending { it.target.value }
    }
}
