package org.buckthornhub.promotion

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.GrantTable
import org.buckthornhub.lease.GroupTerm
import org.buckthornhub.lease.RenewResponse
import org.buckthornhub.target.TargetRole

/**
 * The control leader's side of leases and promotions: grants leases, and replaces primaries that fail, leave or are moved.
 *
 * What is committed is the decision; all else can be lost with the control leader and is found again.
 */
public class PromotionDecider(
    private val settings: PromotionSettings,
    policy: CandidatePolicy = SafeCandidatePolicy(settings),
) : Decider<PromotionState, PromotionMessage, PromotionEffect> {
    private val detector = FailureDetector(settings)
    private val steps = PromotionSteps(settings, policy, detector)

    override fun decide(state: PromotionState, message: PromotionMessage, nowMillis: Long): PromotionDecision = when (message) {
        is PromotionMessage.Tick -> tick(state, message, nowMillis)
        is PromotionMessage.Renewed -> renewed(state, message, nowMillis)
        is PromotionMessage.Surveyed -> surveyed(state, message, nowMillis)
        is PromotionMessage.Committed -> committed(state, message, nowMillis)
        is PromotionMessage.Ordered -> ordered(state, message)
        is PromotionMessage.Move -> move(state, message, nowMillis)
    }

    private fun tick(state: PromotionState, message: PromotionMessage.Tick, nowMillis: Long): PromotionDecision {
        val control = message.control
        if (control.controlTerm < state.control.controlTerm || control.controlTerm == state.endedTerm) return Decision(state)
        val isSameLeader = control.controlTerm == state.control.controlTerm && control.isLeader == state.control.isLeader
        if (!isSameLeader) return startOver(state, message)
        if (!control.isLeader) return Decision(state)
        return progress(forget(learn(state, message.leaderships), nowMillis), nowMillis)
    }

    private fun learn(state: PromotionState, leaderships: Map<GroupId, GroupLeadership>): PromotionState {
        val newer = leaderships.filter { (group, found) -> found.term > (state.leaderships[group]?.term ?: BEFORE_ALL) }
        return state.copy(leaderships = state.leaderships.putAll(newer))
    }

    private fun startOver(state: PromotionState, message: PromotionMessage.Tick): PromotionDecision {
        val error = ProxyError(ErrorKind.NO_QUORUM, "the control leader has changed; look at the status before you repeat")
        val answers = state.promotions.values.mapNotNull { it.reply }.map { PromotionEffect.AnswerMove(it, Err(error)) }
        val fresh =
            PromotionState(
                control = message.control,
                endedTerm = if (state.control.isLeader) state.control.controlTerm else state.endedTerm,
                leaderships = message.leaderships.toPersistentMap(),
                grants = GrantTable(message.control.controlTerm, message.control.sinceMillis),
            )
        return Decision(fresh, answers.toPersistentList())
    }

    private fun forget(state: PromotionState, nowMillis: Long): PromotionState {
        val gone = state.targets.values.filter { nowMillis - (state.ownersMillis[it.owner] ?: 0) >= settings.forgetMillis }
        return gone.fold(state) { next, known -> next.copy(targets = next.targets.remove(known.report.target)) }
    }

    private fun renewed(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionDecision {
        val request = message.request
        val isLeader = state.control.isLeader && message.controlTerm == state.control.controlTerm
        if (!isLeader || !state.grants.isCurrent(request)) {
            val response = RenewResponse(request.sequence, state.control.controlTerm, reportAll = true)
            return Decision(state, persistentListOf(PromotionEffect.Answer(message.reply, response)))
        }
        val heard = hear(learn(state, message.leaderships), message, nowMillis)
        return progress(heard, nowMillis).then { grant(it, message, nowMillis) }
    }

    private fun hear(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionState {
        val request = message.request
        val owner = request.holder.vm
        val inForce = request.claims.filter { it.held && state.leaderships[it.lease.group]?.term == it.lease.term }
        return state.copy(
            grants = state.grants.released(request),
            ownersMillis = state.ownersMillis.put(owner, nowMillis),
            targets = request.reports.fold(state.targets) { all, report -> all.put(report.target, KnownTarget(report, owner)) },
            confirmed = inForce.fold(state.confirmed) { all, claim -> all.put(claim.lease.group, claim.lease.term) },
        )
    }

    private fun grant(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionDecision {
        val request = message.request
        val granted =
            request.claims.filter {
                state.isOpen(it.lease.group, it.lease.term) &&
                    state.grants.isGrantable(request.holder, it, message.confirmedFromMillis, settings.lease)
            }
        val table = granted.fold(state.grants) { grants, claim -> grants.granted(request.holder, claim.lease, nowMillis, settings.lease) }
        val response =
            RenewResponse(
                sequence = request.sequence,
                controlTerm = state.control.controlTerm,
                granted = granted.map { it.lease },
                toRelease = wantedBack(state, message),
            )
        return Decision(state.copy(grants = table), persistentListOf(PromotionEffect.Answer(message.reply, response)))
    }

    private fun wantedBack(state: PromotionState, message: PromotionMessage.Renewed) = state.promotions.values
        .filter { state.grants.grants[it.group]?.holder == message.request.holder }
        .map { GroupTerm(it.group, state.grants.grants.getValue(it.group).term) }

    private fun progress(state: PromotionState, nowMillis: Long): PromotionDecision {
        val confirmed = confirm(state)
        val begun = detector.newPromotions(confirmed, nowMillis).fold(confirmed) { next, promotion -> next.with(promotion) }
        val advanced = begun.promotions.values.fold(PromotionDecision(begun)) { decision, promotion ->
            decision.then { steps.advance(it, promotion, nowMillis) }
        }
        return advanced.then { follow(it, nowMillis) }
    }

    // The target itself says that it leads in the committed term.
    private fun confirm(state: PromotionState): PromotionState = state.leaderships.values
        .filter { it.group !in state.promotions && isLeading(state, it) }
        .fold(state) { next, found -> next.copy(confirmed = next.confirmed.put(found.group, found.term)) }

    private fun isLeading(state: PromotionState, leadership: GroupLeadership): Boolean {
        val report = state.targets[leadership.primary]?.report ?: return false
        return report.reachable && report.role == TargetRole.PRIMARY && report.term == leadership.term
    }

    // Instances that come back from an older term, a replaced primary among them.
    private fun follow(state: PromotionState, nowMillis: Long): PromotionDecision {
        val due =
            state.targets.values.filter { isAstray(state, it) && nowMillis - (state.followMillis[it.report.target] ?: 0) >= FOLLOW_MILLIS }
        val effects = due.mapNotNull { known ->
            val leadership = state.leaderships.getValue(known.report.group)
            val primary = state.targets[leadership.primary] ?: return@mapNotNull null
            PromotionEffect.OrderFollow(known.report.target, known.report.address, leadership.term, primary.report.address)
        }
        val times = effects.fold(state.followMillis) { all, effect -> all.put(effect.target, nowMillis) }
        return Decision(state.copy(followMillis = times), effects.toPersistentList())
    }

    private fun isAstray(state: PromotionState, known: KnownTarget): Boolean {
        val leadership = state.leaderships[known.report.group] ?: return false
        val isSettled = state.isOpen(leadership.group, leadership.term) && known.report.target != leadership.primary
        return isSettled && known.report.reachable && (known.report.term < leadership.term || known.report.role == TargetRole.PRIMARY)
    }

    private fun surveyed(state: PromotionState, message: PromotionMessage.Surveyed, nowMillis: Long): PromotionDecision {
        val promotion = state.promotions[message.group]
        val isMeant = promotion?.step == Promotion.Step.SURVEY && promotion.expected == message.expected
        val fencedMillis = promotion?.fencedMillis ?: return Decision(state)
        if (!isMeant || message.askedMillis < fencedMillis) return Decision(state)
        return steps.surveyed(state, promotion, message.answers, nowMillis)
    }

    private fun committed(state: PromotionState, message: PromotionMessage.Committed, nowMillis: Long): PromotionDecision {
        val promotion = state.promotions[message.leadership.group]
        if (promotion?.step != Promotion.Step.COMMIT || promotion.chosen != message.leadership) return Decision(state)
        return steps.committed(state, promotion, message.outcome, nowMillis)
    }

    private fun ordered(state: PromotionState, message: PromotionMessage.Ordered): PromotionDecision {
        val promotion = state.promotions[message.leadership.group]
        if (promotion?.step != Promotion.Step.ORDER || promotion.chosen != message.leadership) return Decision(state)
        return steps.ordered(state, promotion, message.isDone)
    }

    private fun move(state: PromotionState, message: PromotionMessage.Move, nowMillis: Long): PromotionDecision {
        val leadership = state.leaderships[message.group]
        val error = refusalOf(state, message)
        return when {
            error != null -> Decision(state, persistentListOf(PromotionEffect.AnswerMove(message.reply, Err(error))))
            leadership?.primary == message.target -> Decision(
                state,
                persistentListOf(PromotionEffect.AnswerMove(message.reply, Ok(leadership))),
            )
            else -> beginMove(state, message, checkNotNull(leadership).term, nowMillis)
        }
    }

    private fun beginMove(state: PromotionState, message: PromotionMessage.Move, term: Term, nowMillis: Long): PromotionDecision {
        val promotion =
            Promotion(
                group = message.group,
                reason = PromotionReason.OPERATOR,
                expected = term,
                step = Promotion.Step.FENCE,
                sinceMillis = nowMillis,
                wanted = message.target,
                reply = message.reply,
            )
        return steps.advance(state.with(promotion), promotion, nowMillis)
    }

    private fun refusalOf(state: PromotionState, message: PromotionMessage.Move): ProxyError? {
        val target = state.targets[message.target]?.report
        return when {
            !state.control.isLeader -> ProxyError(ErrorKind.NO_QUORUM, "this VM does not lead the control quorum")
            message.group !in state.leaderships -> ProxyError(ErrorKind.GROUP_UNKNOWN, "group ${message.group} has no recorded primary")
            target?.group != message.group -> ProxyError(ErrorKind.NO_TARGET, "group ${message.group} has no target ${message.target}")
            message.group in state.promotions -> ProxyError(ErrorKind.LIST_CONFLICT, "group ${message.group} is changing its primary")
            !target.reachable || target.leaving -> ProxyError(ErrorKind.NO_TARGET, "target ${message.target} leaves or can't be reached")
            else -> null
        }
    }

    private companion object {
        val BEFORE_ALL = Term(-1)
        const val FOLLOW_MILLIS = 1_000L
    }
}
