package org.buckthornhub.promotion

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.decision.Decision
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.lease.TargetReport

/** Steps of a promotion; each is idempotent and may be repeated. */
internal class PromotionSteps(
    private val settings: PromotionSettings,
    private val policy: CandidatePolicy,
    private val detector: FailureDetector,
) {
    /** Advances [promotion] as far as the elapsed time and the reports allow. */
    fun advance(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision = when (promotion.step) {
        Promotion.Step.FENCE -> fence(state, promotion, nowMillis)
        Promotion.Step.SURVEY -> surveyIfDue(state, promotion, nowMillis)
        Promotion.Step.COMMIT -> commit(state, promotion, nowMillis)
        Promotion.Step.ORDER -> order(state, promotion, nowMillis)
    }

    /** Chooses the new primary from the answers to a survey, and commits it. */
    fun surveyed(state: PromotionState, promotion: Promotion, answers: List<TargetReport>, nowMillis: Long): PromotionDecision {
        val current = state.leaderships.getValue(promotion.group)
        val known = state.instancesOf(promotion.group).size
        val candidate = policy.choose(promotion, current, answers.map { current.withoutLostEntries(it) }, maxOf(known, settings.groupSize))
        if (candidate == null) {
            return if (promotion.isPlanned) survey(state, promotion, nowMillis, settings.catchUpIntervalMillis) else Decision(state)
        }
        val newLeadership =
            current.copy(
                term = current.term.next(),
                primary = candidate.target,
                termStart = LogPosition(candidate.received.value + 1),
                earlierStarts = current.earlierStarts.put(current.term, current.termStart),
            )
        val next = promotion.copy(
            step = Promotion.Step.COMMIT,
            newLeadership = newLeadership,
            lastAttemptMillis = nowMillis - settings.retryIntervalMillis,
        )
        return commit(state, next, nowMillis)
    }

    /** Handles the result of a commit. Any result but success is ignored: the committed state shows later whether it took effect. */
    fun committed(state: PromotionState, promotion: Promotion, outcome: CommandOutcome?, nowMillis: Long): PromotionDecision =
        if (outcome is CommandOutcome.Accepted) accepted(state, promotion, nowMillis) else Decision(state)

    /** Handles the answer to a promotion order: once the target leads, leases of the new term may be granted. */
    fun ordered(state: PromotionState, promotion: Promotion, isDone: Boolean): PromotionDecision {
        if (!isDone) return Decision(state)
        val leadership = checkNotNull(promotion.newLeadership)
        val primary = state.targets[leadership.primary] ?: return Decision(state)
        val others = state.instancesOf(promotion.group).filter { it.report.target != leadership.primary }
        val follow = others.map {
            PromotionEffect.OrderFollow(it.report.target, it.report.address, leadership.term, primary.report.address)
        }
        val effects = listOf(PromotionEffect.Offer(primary.owner, leadership)) + follow + answer(promotion, leadership)
        val open = state.without(promotion.group).copy(confirmedTerms = state.confirmedTerms.put(promotion.group, leadership.term))
        return Decision(open, effects.toPersistentList())
    }

    /** Abandons [promotion]; leases of the current term may be granted again. */
    fun abandon(state: PromotionState, promotion: Promotion, error: ProxyError): PromotionDecision {
        val answer = listOfNotNull(promotion.reply?.let { PromotionEffect.AnswerMove(it, Err(error)) })
        return Decision(state.without(promotion.group), answer.toPersistentList())
    }

    private fun fence(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        if (promotion.isPlanned &&
            nowMillis - promotion.sinceMillis >= settings.switchoverTimeoutMillis
        ) {
            return abandonSwitchover(state, promotion, nowMillis)
        }
        if (isRecovered(state, promotion, nowMillis)) return abandon(state, promotion, recovered)
        if (!state.grants.isFree(promotion.group, nowMillis, settings.lease)) return Decision(state)
        return survey(state, promotion, nowMillis, delayMillis = 0)
    }

    private fun surveyIfDue(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision = when {
        promotion.isPlanned && nowMillis - promotion.sinceMillis >= settings.switchoverTimeoutMillis ->
            abandonSwitchover(state, promotion, nowMillis)
        isRecovered(state, promotion, nowMillis) -> abandon(state, promotion, recovered)
        nowMillis - promotion.lastAttemptMillis < settings.surveyIntervalMillis -> Decision(state)
        else -> survey(state, promotion, nowMillis, delayMillis = 0)
    }

    private fun survey(state: PromotionState, promotion: Promotion, nowMillis: Long, delayMillis: Long): PromotionDecision {
        val fencedMillis = promotion.fencedMillis ?: nowMillis
        val surveying = promotion.copy(step = Promotion.Step.SURVEY, lastAttemptMillis = nowMillis, fencedMillis = fencedMillis)
        val targets = surveyTargets(state, promotion)
        return Decision(
            state.with(surveying),
            persistentListOf(PromotionEffect.Survey(promotion.group, promotion.expectedTerm, nowMillis, targets, delayMillis)),
        )
    }

    // Skips instances reported unreachable if enough others remain: waiting for their timeout would only prolong the outage.
    private fun surveyTargets(state: PromotionState, promotion: Promotion): List<TargetReport> {
        val all = state.instancesOf(promotion.group).map { it.report }
        val reachable = all.filter { it.reachable }
        val areEnoughReachable = reachable.size >= maxOf(all.size, settings.groupSize) - 1
        return if (areEnoughReachable) reachable else all
    }

    private fun commit(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val newLeadership = checkNotNull(promotion.newLeadership)
        val current = state.leaderships[promotion.group]
        if (current == newLeadership) return accepted(state, promotion, nowMillis)
        if (current != null && current.term > promotion.expectedTerm) return abandon(state, promotion, superseded)
        if (nowMillis - promotion.lastAttemptMillis < settings.retryIntervalMillis) return Decision(state.with(promotion))
        val command = ControlCommand.SetLeadership(promotion.expectedTerm, newLeadership)
        return Decision(state.with(promotion.copy(lastAttemptMillis = nowMillis)), persistentListOf(PromotionEffect.Commit(command)))
    }

    private fun accepted(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val leadership = checkNotNull(promotion.newLeadership)
        val next = promotion.copy(
            step = Promotion.Step.ORDER,
            sinceMillis = nowMillis,
            lastAttemptMillis = nowMillis - settings.retryIntervalMillis,
        )
        val known = state.copy(leaderships = state.leaderships.put(promotion.group, leadership))
        return order(known, next, nowMillis)
    }

    private fun order(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val leadership = checkNotNull(promotion.newLeadership)
        if (nowMillis - promotion.sinceMillis >= settings.orderTimeoutMillis) return replaceUnresponsiveTarget(state, promotion, nowMillis)
        if (nowMillis - promotion.lastAttemptMillis < settings.retryIntervalMillis) return Decision(state.with(promotion))
        val address = state.targets[leadership.primary]?.report?.address ?: return Decision(state.with(promotion))
        val effect = PromotionEffect.OrderPromotion(leadership, address)
        return Decision(state.with(promotion.copy(lastAttemptMillis = nowMillis)), persistentListOf(effect))
    }

    // The chosen target failed after the commit. No lease of its term was granted, so another can be chosen at once.
    private fun replaceUnresponsiveTarget(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val term = checkNotNull(promotion.newLeadership).term
        val reply = promotion.reply?.let {
            PromotionEffect.AnswerMove(it, Err(ProxyError(ErrorKind.NO_TARGET, "the chosen target did not confirm its promotion in time")))
        }
        val next = Promotion(promotion.group, PromotionReason.ORDER_REFUSED, term, Promotion.Step.FENCE, nowMillis)
        return Decision(state.with(next), listOfNotNull(reply).toPersistentList())
    }

    private fun abandonSwitchover(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val paused = state.copy(
            switchoverRetryMillis = state.switchoverRetryMillis.put(promotion.group, nowMillis + settings.switchoverPauseMillis),
        )
        return abandon(
            paused,
            promotion,
            ProxyError(ErrorKind.NO_TARGET, "no replica caught up with the primary in time; the primary was not changed"),
        )
    }

    // A primary that becomes reachable again before a new one is committed keeps its term.
    private fun isRecovered(state: PromotionState, promotion: Promotion, nowMillis: Long): Boolean {
        val leadership = state.leaderships[promotion.group] ?: return false
        val isFailure = !promotion.isPlanned && promotion.reason != PromotionReason.ORDER_REFUSED
        return isFailure && detector.isHealthy(state, leadership, nowMillis)
    }

    private fun answer(promotion: Promotion, leadership: GroupLeadership): List<PromotionEffect> =
        listOfNotNull(promotion.reply?.let { PromotionEffect.AnswerMove(it, Ok(leadership)) })

    private companion object {
        val superseded = ProxyError(ErrorKind.LIST_CONFLICT, "another change of the primary was committed first")
        val recovered = ProxyError(ErrorKind.NO_TARGET, "the primary is reachable again")
    }
}
