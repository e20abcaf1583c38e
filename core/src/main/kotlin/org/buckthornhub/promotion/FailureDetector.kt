package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetRole

/** Detects failed or departing primaries and decides which groups need a new one. */
internal class FailureDetector(private val settings: PromotionSettings) {
    /** Returns the promotions to start now, at most one for each group. */
    fun newPromotions(state: PromotionState, nowMillis: Long): List<Promotion> =
        (state.leaderships.keys + state.targets.values.map { it.report.group })
            .filter { it !in state.promotions }
            .mapNotNull { group -> newPromotion(state, group, nowMillis) }

    /** True if the owner of the primary renews its leases in time and reports it as the reachable primary of the committed term. */
    fun isHealthy(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Boolean =
        reasonToReplace(state, leadership, nowMillis) == null

    private fun newPromotion(state: PromotionState, group: GroupId, nowMillis: Long): Promotion? {
        val leadership = state.leaderships[group] ?: return firstPromotion(state, group, nowMillis)
        val reason = reasonToReplace(state, leadership, nowMillis) ?: return resumedPromotion(state, leadership, nowMillis)
        if (reason == PromotionReason.LEAVING && !canSwitchOver(state, leadership, nowMillis)) return null
        return Promotion(group, reason, leadership.term, Promotion.Step.FENCE, nowMillis)
    }

    private fun reasonToReplace(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): PromotionReason? {
        val primary = state.targets[leadership.primary]
        val lastRenewalMillis = primary?.let { state.lastRenewalMillis[it.owner] } ?: state.control.sinceMillis
        return when {
            nowMillis - lastRenewalMillis >= settings.ownerTimeoutMillis -> PromotionReason.OWNER_SILENT
            primary == null -> null
            !primary.report.reachable -> PromotionReason.UNREACHABLE
            primary.report.role == TargetRole.REPLICA && primary.report.term >= leadership.term -> PromotionReason.NOT_PRIMARY
            primary.report.leaving -> PromotionReason.LEAVING
            else -> null
        }
    }

    // The term is committed, but its primary still reports an older one: the control leader stopped before it sent the order.
    private fun resumedPromotion(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Promotion? {
        val primary = state.targets[leadership.primary] ?: return null
        val isPending = state.confirmedTerms[leadership.group] != leadership.term && primary.report.term < leadership.term
        if (!isPending) return null
        return Promotion(
            group = leadership.group,
            reason = PromotionReason.RESUMED,
            expectedTerm = leadership.term,
            step = Promotion.Step.ORDER,
            sinceMillis = nowMillis,
            lastAttemptMillis = nowMillis - settings.retryIntervalMillis,
            newLeadership = leadership,
        )
    }

    private fun firstPromotion(state: PromotionState, group: GroupId, nowMillis: Long): Promotion? {
        if (nowMillis - state.control.sinceMillis < settings.firstPrimaryDelayMillis) return null
        val primary =
            state
                .instancesOf(group)
                .map { it.report }
                .filter { it.role == TargetRole.PRIMARY && it.reachable }
                .maxByOrNull { it.term } ?: return null
        return Promotion(
            group = group,
            reason = PromotionReason.FIRST,
            expectedTerm = Term.NONE,
            step = Promotion.Step.COMMIT,
            sinceMillis = nowMillis,
            lastAttemptMillis = nowMillis - settings.retryIntervalMillis,
            newLeadership = GroupLeadership(group, primary.term, primary.target, termStart = LogPosition.START),
        )
    }

    private fun canSwitchOver(state: PromotionState, leadership: GroupLeadership, nowMillis: Long): Boolean {
        val others = state.instancesOf(leadership.group).map { it.report }.filter { it.target != leadership.primary }
        val isRetryDue = nowMillis >= (state.switchoverRetryMillis[leadership.group] ?: Long.MIN_VALUE)
        return isRetryDue && others.any { it.reachable && !it.leaving }
    }
}
