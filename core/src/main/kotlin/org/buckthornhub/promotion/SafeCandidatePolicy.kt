package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetRole

/**
 * Chooses the instance with the newest position, if it surely has every acknowledged write.
 *
 * A write is acknowledged once the primary and one more instance have it. The newest of all the other instances
 * therefore has it, and so does any instance that is as far as the primary itself.
 */
public class SafeCandidatePolicy(private val settings: PromotionSettings) : CandidatePolicy {
    override fun choose(promotion: Promotion, current: GroupLeadership, answers: List<TargetReport>, instances: Int): TargetReport? {
        val primary = answers.firstOrNull { it.target == current.primary && it.role == TargetRole.PRIMARY && it.term == current.term }
        // A primary that was restarted as a replica has kept its writes and may be chosen again.
        val others = answers.filter { it.target != primary?.target }
        val newest = others.maxWithOrNull(newness) ?: return null
        if (promotion.isPlanned) {
            return others.filter { isWanted(it, promotion) && hasAll(it, primary) }.maxWithOrNull(newness)
        }
        val areAllSeen = others.size >= instances - 1
        return newest.takeIf { areAllSeen || hasAll(it, primary) || !settings.requireMajority }
    }

    private fun isWanted(candidate: TargetReport, promotion: Promotion): Boolean =
        if (promotion.wanted == null) !candidate.leaving else candidate.target == promotion.wanted

    private fun hasAll(candidate: TargetReport, primary: TargetReport?): Boolean = primary != null && candidate.received >= primary.received

    private companion object {
        val newness: Comparator<TargetReport> =
            compareBy<TargetReport> { it.received }.thenBy { !it.leaving }.thenByDescending { it.target.value }
    }
}
