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
 * Grants leases and changes primaries on the control leader: failovers of failed primaries, and switchovers from
 * primaries that are shutting down or that an operator moves.
 *
 * A change is decided once the quorum has committed it. All other state may be lost with the control leader;
 * the next one rebuilds it from the reports of the daemons.
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
        if (control.controlTerm < state.control.controlTerm || control.controlTerm == state.endedControlTerm) return Decision(state)
        val isSameLeader = control.controlTerm == state.control.controlTerm && control.isLeader == state.control.isLeader
        if (!isSameLeader) return resetState(state, message)
        if (!control.isLeader) return Decision(state)
        return progress(dropUnreportedTargets(mergeLeaderships(state, message.leaderships), nowMillis), nowMillis)
    }

    private fun mergeLeaderships(state: PromotionState, leaderships: Map<GroupId, GroupLeadership>): PromotionState {
        val newer = leaderships.filter { (group, found) -> found.term > (state.leaderships[group]?.term ?: BELOW_ALL_TERMS) }
        return state.copy(leaderships = state.leaderships.putAll(newer))
    }

    private fun resetState(state: PromotionState, message: PromotionMessage.Tick): PromotionDecision {
        val error =
            ProxyError(
                ErrorKind.NO_QUORUM,
                "the control leader changed before the switchover was answered; check the status before you retry",
            )
        val answers = state.promotions.values.mapNotNull { it.reply }.map { PromotionEffect.AnswerMove(it, Err(error)) }
        val fresh =
            PromotionState(
                control = message.control,
                endedControlTerm = if (state.control.isLeader) state.control.controlTerm else state.endedControlTerm,
                leaderships = message.leaderships.toPersistentMap(),
                grants = GrantTable(message.control.controlTerm, message.control.sinceMillis),
            )
        return Decision(fresh, answers.toPersistentList())
    }

    private fun dropUnreportedTargets(state: PromotionState, nowMillis: Long): PromotionState {
        val expired = state.targets.values.filter { nowMillis - (state.lastRenewalMillis[it.owner] ?: 0) >= settings.targetExpiryMillis }
        return expired.fold(state) { next, reported -> next.copy(targets = next.targets.remove(reported.report.target)) }
    }

    private fun renewed(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionDecision {
        val request = message.request
        val isLeader = state.control.isLeader && message.controlTerm == state.control.controlTerm
        if (!isLeader || !state.grants.isCurrent(request)) {
            val response = RenewResponse(request.sequence, state.control.controlTerm, reportAll = true)
            return Decision(state, persistentListOf(PromotionEffect.Answer(message.reply, response)))
        }
        val recorded = recordRenewal(mergeLeaderships(state, message.leaderships), message, nowMillis)
        return progress(recorded, nowMillis).then { grant(it, message, nowMillis) }
    }

    private fun recordRenewal(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionState {
        val request = message.request
        val owner = request.holder.vm
        val heldClaims = request.claims.filter { it.held && state.leaderships[it.lease.group]?.term == it.lease.term }
        return state.copy(
            grants = state.grants.released(request),
            lastRenewalMillis = state.lastRenewalMillis.put(owner, nowMillis),
            targets = request.reports.fold(state.targets) { all, report -> all.put(report.target, ReportedTarget(report, owner)) },
            confirmedTerms = heldClaims.fold(state.confirmedTerms) { all, claim -> all.put(claim.lease.group, claim.lease.term) },
        )
    }

    private fun grant(state: PromotionState, message: PromotionMessage.Renewed, nowMillis: Long): PromotionDecision {
        val request = message.request
        val granted =
            request.claims.filter {
                state.isLeaseGrantable(it.lease.group, it.lease.term) &&
                    state.grants.isGrantable(request.holder, it, message.confirmedFromMillis, settings.lease)
            }
        val table = granted.fold(state.grants) { grants, claim -> grants.granted(request.holder, claim.lease, nowMillis, settings.lease) }
        val response =
            RenewResponse(
                sequence = request.sequence,
                controlTerm = state.control.controlTerm,
                granted = granted.map { it.lease },
                toRelease = leasesToRelease(state, message),
            )
        return Decision(state.copy(grants = table), persistentListOf(PromotionEffect.Answer(message.reply, response)))
    }

    private fun leasesToRelease(state: PromotionState, message: PromotionMessage.Renewed) = state.promotions.values
        .filter { state.grants.grants[it.group]?.holder == message.request.holder }
        .map { GroupTerm(it.group, state.grants.grants.getValue(it.group).term) }

    private fun progress(state: PromotionState, nowMillis: Long): PromotionDecision {
        val confirmed = confirmTerms(state)
        val started = detector.newPromotions(confirmed, nowMillis).fold(confirmed) { next, promotion -> next.with(promotion) }
        val advanced = started.promotions.values.fold(PromotionDecision(started)) { decision, promotion ->
            decision.then { steps.advance(it, promotion, nowMillis) }
        }
        return advanced.then { orderFollow(it, nowMillis) }
    }

    // A committed term is confirmed once its primary itself reports that it leads in it.
    private fun confirmTerms(state: PromotionState): PromotionState = state.leaderships.values
        .filter { it.group !in state.promotions && isLeading(state, it) }
        .fold(state) { next, found -> next.copy(confirmedTerms = next.confirmedTerms.put(found.group, found.term)) }

    private fun isLeading(state: PromotionState, leadership: GroupLeadership): Boolean {
        val report = state.targets[leadership.primary]?.report ?: return false
        return report.reachable && report.role == TargetRole.PRIMARY && report.term == leadership.term
    }

    // Orders instances that return with an older term, including replaced primaries, to replicate from the current primary.
    private fun orderFollow(state: PromotionState, nowMillis: Long): PromotionDecision {
        val due =
            state.targets.values.filter {
                needsFollowOrder(state, it) &&
                    nowMillis - (state.followOrderMillis[it.report.target] ?: 0) >= FOLLOW_RETRY_MILLIS
            }
        val effects = due.mapNotNull { reported ->
            val leadership = state.leaderships.getValue(reported.report.group)
            val primary = state.targets[leadership.primary] ?: return@mapNotNull null
            PromotionEffect.OrderFollow(reported.report.target, reported.report.address, leadership.term, primary.report.address)
        }
        val times = effects.fold(state.followOrderMillis) { all, effect -> all.put(effect.target, nowMillis) }
        return Decision(state.copy(followOrderMillis = times), effects.toPersistentList())
    }

    private fun needsFollowOrder(state: PromotionState, reported: ReportedTarget): Boolean {
        val leadership = state.leaderships[reported.report.group] ?: return false
        val isSettled = state.isLeaseGrantable(leadership.group, leadership.term) && reported.report.target != leadership.primary
        return isSettled &&
            reported.report.reachable &&
            (reported.report.term < leadership.term || reported.report.role == TargetRole.PRIMARY)
    }

    private fun surveyed(state: PromotionState, message: PromotionMessage.Surveyed, nowMillis: Long): PromotionDecision {
        val promotion = state.promotions[message.group]
        val isAwaited = promotion?.step == Promotion.Step.SURVEY && promotion.expectedTerm == message.expected
        val fencedMillis = promotion?.fencedMillis ?: return Decision(state)
        if (!isAwaited || message.askedMillis < fencedMillis) return Decision(state)
        return steps.surveyed(state, promotion, message.answers, nowMillis)
    }

    private fun committed(state: PromotionState, message: PromotionMessage.Committed, nowMillis: Long): PromotionDecision {
        val promotion = state.promotions[message.leadership.group]
        if (promotion?.step != Promotion.Step.COMMIT || promotion.newLeadership != message.leadership) return Decision(state)
        return steps.committed(state, promotion, message.outcome, nowMillis)
    }

    private fun ordered(state: PromotionState, message: PromotionMessage.Ordered): PromotionDecision {
        val promotion = state.promotions[message.leadership.group]
        if (promotion?.step != Promotion.Step.ORDER || promotion.newLeadership != message.leadership) return Decision(state)
        return steps.ordered(state, promotion, message.isDone)
    }

    private fun move(state: PromotionState, message: PromotionMessage.Move, nowMillis: Long): PromotionDecision {
        val leadership = state.leaderships[message.group]
        val error = moveErrorOf(state, message)
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
                expectedTerm = term,
                step = Promotion.Step.FENCE,
                sinceMillis = nowMillis,
                requestedTarget = message.target,
                reply = message.reply,
            )
        return steps.advance(state.with(promotion), promotion, nowMillis)
    }

    private fun moveErrorOf(state: PromotionState, message: PromotionMessage.Move): ProxyError? {
        val target = state.targets[message.target]?.report
        return when {
            !state.control.isLeader -> ProxyError(ErrorKind.NO_QUORUM, "this VM does not lead the control quorum")
            message.group !in state.leaderships -> ProxyError(ErrorKind.GROUP_UNKNOWN, "group ${message.group} has no recorded primary")
            target?.group != message.group -> ProxyError(ErrorKind.NO_TARGET, "group ${message.group} has no target ${message.target}")
            message.group in state.promotions -> ProxyError(
                ErrorKind.LIST_CONFLICT,
                "a change of the primary of group ${message.group} is already in progress",
            )
            !target.reachable || target.leaving -> ProxyError(ErrorKind.NO_TARGET, "target ${message.target} is leaving or unreachable")
            else -> null
        }
    }

    private companion object {
        /** Lower than every term, [Term.NONE] included. */
        val BELOW_ALL_TERMS = Term(-1)

        /** Time between two follow orders to the same target, in ms. */
        const val FOLLOW_RETRY_MILLIS = 1_000L
    }
}
