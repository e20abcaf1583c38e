package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetRole

/** Finds the groups whose primary has to change, and why. */
internal class FailureDetector(private val settings: PromotionSettings) {
    /** The promotions that have to begin now. */
    fun newPromotions(state: PromotionState, nowMillis: Long): List<Promotion> =
        (state.leaderships.keys + state.targets.values.map { it.report.group })
            .filter { it !in state.promotions }
            .mapNotNull { group -> newPromotion(state, group, nowMillis) }

    /** True if the owner of the primary is heard of and reaches it as the primary of its term. */
    fun isHealthy(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Boolean =
        reasonToReplace(state, leadership, nowMillis) == null

    private fun newPromotion(state: PromotionState, group: GroupId, nowMillis: Long): Promotion? {
        val leadership = state.leaderships[group] ?: return first(state, group, nowMillis)
        val reason = reasonToReplace(state, leadership, nowMillis) ?: return resumed(state, leadership, nowMillis)
        if (reason == PromotionReason.LEAVING && !canMove(state, leadership, nowMillis)) return null
        return Promotion(group, reason, leadership.term, Promotion.Step.FENCE, nowMillis)
    }

    private fun reasonToReplace(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): PromotionReason? {
        val primary = state.targets[leadership.primary]
        val heardMillis = primary?.let { state.ownersMillis[it.owner] } ?: state.control.sinceMillis
        return when {
            nowMillis - heardMillis >= settings.silentMillis -> PromotionReason.OWNER_SILENT
            primary == null -> null
            !primary.report.reachable -> PromotionReason.UNREACHABLE
            primary.report.role == TargetRole.REPLICA && primary.report.term >= leadership.term -> PromotionReason.NOT_PRIMARY
            primary.report.leaving -> PromotionReason.LEAVING
            else -> null
        }
    }

    // Committed, but the target has not taken it yet: the control leader that committed it is gone.
    private fun resumed(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Promotion? {
        val primary = state.targets[leadership.primary] ?: return null
        val isPending = state.confirmed[leadership.group] != leadership.term && primary.report.term < leadership.term
        if (!isPending) return null
        return Promotion(
            group = leadership.group,
            reason = PromotionReason.RESUMED,
            expected = leadership.term,
            step = Promotion.Step.ORDER,
            sinceMillis = nowMillis,
            stepMillis = nowMillis - settings.repeatMillis,
            chosen = leadership,
        )
    }

    private fun first(state: PromotionState, group: GroupId, nowMillis: Long): Promotion? {
        if (nowMillis - state.control.sinceMillis < settings.firstMillis) return null
        val primary =
            state
                .instancesOf(group)
                .map { it.report }
                .filter { it.role == TargetRole.PRIMARY && it.reachable }
                .maxByOrNull { it.term } ?: return null
        return Promotion(
            group = group,
            reason = PromotionReason.FIRST,
            expected = Term.NONE,
            step = Promotion.Step.COMMIT,
            sinceMillis = nowMillis,
            stepMillis = nowMillis - settings.repeatMillis,
            chosen = GroupLeadership(group, primary.term, primary.target, termStart = LogPosition.START),
        )
    }

    private fun canMove(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Boolean {
        val others = state.instancesOf(leadership.group).map { it.report }.filter { it.target != leadership.primary }
        val isRested = nowMillis >= (state.plannedMillis[leadership.group] ?: Long.MIN_VALUE)
        return isRested && others.any { it.reachable && !it.leaving }
    }
}
