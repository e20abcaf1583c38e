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

/** Takes a promotion from step to step; repeating any step changes nothing. */
internal class PromotionSteps(
    private val settings: PromotionSettings,
    private val policy: CandidatePolicy,
    private val detector: FailureDetector,
) {
    /** Goes on with [promotion] as far as time and knowledge allow. */
    fun advance(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision = when (promotion.step) {
        Promotion.Step.FENCE -> fence(state, promotion, nowMillis)
        Promotion.Step.SURVEY -> resurvey(state, promotion, nowMillis)
        Promotion.Step.COMMIT -> commit(state, promotion, nowMillis)
        Promotion.Step.ORDER -> order(state, promotion, nowMillis)
    }

    /** Chooses from the answers to a survey. */
    fun surveyed(state: PromotionState, promotion: Promotion, answers: List<TargetReport>, nowMillis: Long): PromotionDecision {
        val current = state.leaderships.getValue(promotion.group)
        val known = state.instancesOf(promotion.group).size
        val candidate = policy.choose(promotion, current, answers.map { current.kept(it) }, maxOf(known, settings.instances))
        if (candidate == null) {
            return if (promotion.isPlanned) survey(state, promotion, nowMillis, settings.catchUpMillis) else Decision(state)
        }
        val chosen =
            current.copy(
                term = current.term.next(),
                primary = candidate.target,
                termStart = LogPosition(candidate.received.value + 1),
                earlierStarts = current.earlierStarts.put(current.term, current.termStart),
            )
        val next = promotion.copy(step = Promotion.Step.COMMIT, chosen = chosen, stepMillis = nowMillis - settings.repeatMillis)
        return commit(state, next, nowMillis)
    }

    /** Takes what became of a commit. After anything but success the committed state has to show what came of it. */
    fun committed(state: PromotionState, promotion: Promotion, outcome: CommandOutcome?, nowMillis: Long): PromotionDecision =
        if (outcome is CommandOutcome.Accepted) accepted(state, promotion, nowMillis) else Decision(state)

    /** The chosen target leads, or has refused to. */
    fun ordered(state: PromotionState, promotion: Promotion, isDone: Boolean): PromotionDecision {
        if (!isDone) return Decision(state)
        val leadership = checkNotNull(promotion.chosen)
        val primary = state.targets[leadership.primary] ?: return Decision(state)
        val others = state.instancesOf(promotion.group).filter { it.report.target != leadership.primary }
        val follow = others.map {
            PromotionEffect.OrderFollow(it.report.target, it.report.address, leadership.term, primary.report.address)
        }
        val effects = listOf(PromotionEffect.Offer(primary.owner, leadership)) + follow + answer(promotion, leadership)
        val open = state.without(promotion.group).copy(confirmed = state.confirmed.put(promotion.group, leadership.term))
        return Decision(open, effects.toPersistentList())
    }

    /** Gives up [promotion]; leases of the present term are granted again. */
    fun abandon(state: PromotionState, promotion: Promotion, error: ProxyError): PromotionDecision {
        val answer = listOfNotNull(promotion.reply?.let { PromotionEffect.AnswerMove(it, Err(error)) })
        return Decision(state.without(promotion.group), answer.toPersistentList())
    }

    private fun fence(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        if (promotion.isPlanned &&
            nowMillis - promotion.sinceMillis >= settings.planLimitMillis
        ) {
            return giveUpPlan(state, promotion, nowMillis)
        }
        if (isNeedless(state, promotion, nowMillis)) return abandon(state, promotion, recovered)
        if (!state.grants.isFree(promotion.group, nowMillis, settings.lease)) return Decision(state)
        return survey(state, promotion, nowMillis, delayMillis = 0)
    }

    private fun resurvey(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision = when {
        promotion.isPlanned && nowMillis - promotion.sinceMillis >= settings.planLimitMillis -> giveUpPlan(state, promotion, nowMillis)
        isNeedless(state, promotion, nowMillis) -> abandon(state, promotion, recovered)
        nowMillis - promotion.stepMillis < settings.surveyMillis -> Decision(state)
        else -> survey(state, promotion, nowMillis, delayMillis = 0)
    }

    private fun survey(state: PromotionState, promotion: Promotion, nowMillis: Long, delayMillis: Long): PromotionDecision {
        val fencedMillis = promotion.fencedMillis ?: nowMillis
        val asked = promotion.copy(step = Promotion.Step.SURVEY, stepMillis = nowMillis, fencedMillis = fencedMillis)
        val targets = surveyTargets(state, promotion)
        return Decision(
            state.with(asked),
            persistentListOf(PromotionEffect.Survey(promotion.group, promotion.expected, nowMillis, targets, delayMillis)),
        )
    }

    // Waiting for an instance that surely won't answer would only lengthen the gap.
    private fun surveyTargets(state: PromotionState, promotion: Promotion): List<TargetReport> {
        val all = state.instancesOf(promotion.group).map { it.report }
        val reachable = all.filter { it.reachable }
        val isEnough = reachable.size >= maxOf(all.size, settings.instances) - 1
        return if (isEnough) reachable else all
    }

    private fun commit(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val chosen = checkNotNull(promotion.chosen)
        val current = state.leaderships[promotion.group]
        if (current == chosen) return accepted(state, promotion, nowMillis)
        if (current != null && current.term > promotion.expected) return abandon(state, promotion, overtaken)
        if (nowMillis - promotion.stepMillis < settings.repeatMillis) return Decision(state.with(promotion))
        val command = ControlCommand.SetLeadership(promotion.expected, chosen)
        return Decision(state.with(promotion.copy(stepMillis = nowMillis)), persistentListOf(PromotionEffect.Commit(command)))
    }

    private fun accepted(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val leadership = checkNotNull(promotion.chosen)
        val next = promotion.copy(step = Promotion.Step.ORDER, sinceMillis = nowMillis, stepMillis = nowMillis - settings.repeatMillis)
        val known = state.copy(leaderships = state.leaderships.put(promotion.group, leadership))
        return order(known, next, nowMillis)
    }

    private fun order(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val leadership = checkNotNull(promotion.chosen)
        if (nowMillis - promotion.sinceMillis >= settings.orderLimitMillis) return replaceChosen(state, promotion, nowMillis)
        if (nowMillis - promotion.stepMillis < settings.repeatMillis) return Decision(state.with(promotion))
        val address = state.targets[leadership.primary]?.report?.address ?: return Decision(state.with(promotion))
        val effect = PromotionEffect.OrderPromotion(leadership, address)
        return Decision(state.with(promotion.copy(stepMillis = nowMillis)), persistentListOf(effect))
    }

    // The chosen target died in between. Nobody has had a lease of its term, so the next one can be chosen at once.
    private fun replaceChosen(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val term = checkNotNull(promotion.chosen).term
        val reply = promotion.reply?.let { PromotionEffect.AnswerMove(it, Err(ProxyError(ErrorKind.NO_TARGET, "the target refused"))) }
        val next = Promotion(promotion.group, PromotionReason.ORDER_REFUSED, term, Promotion.Step.FENCE, nowMillis)
        return Decision(state.with(next), listOfNotNull(reply).toPersistentList())
    }

    private fun giveUpPlan(state: PromotionState, promotion: Promotion, nowMillis: Long): PromotionDecision {
        val rested = state.copy(plannedMillis = state.plannedMillis.put(promotion.group, nowMillis + settings.planRestMillis))
        return abandon(rested, promotion, ProxyError(ErrorKind.NO_TARGET, "no replica had every write in time; the primary stays"))
    }

    // A primary that is reached again keeps its term, as long as nothing else was decided.
    private fun isNeedless(state: PromotionState, promotion: Promotion, nowMillis: Long): Boolean {
        val leadership = state.leaderships[promotion.group] ?: return false
        val isFailure = !promotion.isPlanned && promotion.reason != PromotionReason.ORDER_REFUSED
        return isFailure && detector.isHealthy(state, leadership, nowMillis)
    }

    private fun answer(promotion: Promotion, leadership: GroupLeadership): List<PromotionEffect> =
        listOfNotNull(promotion.reply?.let { PromotionEffect.AnswerMove(it, Ok(leadership)) })

    private companion object {
        val overtaken = ProxyError(ErrorKind.LIST_CONFLICT, "another change of the primary came first")
        val recovered = ProxyError(ErrorKind.NO_TARGET, "the primary is reached again")
    }
}
