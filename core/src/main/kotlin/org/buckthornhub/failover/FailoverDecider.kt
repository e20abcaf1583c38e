package org.buckthornhub.failover

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Replaces primaries that are missing, unreachable for most daemons, or shutting down, by the replica that received most. */
public class FailoverDecider(private val settings: FailoverSettings = FailoverSettings()) :
    Decider<FailoverState, FailoverMessage, FailoverEffect> {
    override fun decide(state: FailoverState, message: FailoverMessage, nowMillis: Long): Decision<FailoverState, FailoverEffect> =
        when (message) {
            is FailoverMessage.Review -> review(state, message, nowMillis)
            is FailoverMessage.Surveyed -> surveyed(state, message)
            is FailoverMessage.HolderAnswered -> located(state, message, nowMillis)
            is FailoverMessage.Resumed -> SyncFailover.onResumed(state, message)
            is FailoverMessage.PromotionAttempted -> ordered(state, message, nowMillis)
            is FailoverMessage.Designated -> PromotionFence.onDesignated(state, message)
            is FailoverMessage.PrimaryStopped -> PromotionFence.onPrimaryStopped(state, message)
        }

    private fun review(state: FailoverState, message: FailoverMessage.Review, nowMillis: Long): Decision<FailoverState, FailoverEffect> =
        message.records.groupBy { it.group }.entries.fold(Decision(state)) { decision, (group, records) ->
            decision.then {
                val tracked = trackPrimary(it, group, records, message, nowMillis)
                val withAddresses = SyncFailover.trackAddresses(tracked, group, records, message, nowMillis)
                reviewGroup(withAddresses, group, records, message, nowMillis)
            }
        }

    private fun trackPrimary(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        nowMillis: Long,
    ): FailoverState {
        val since = state.withoutPrimarySince
        return when {
            records.any { it.role == TargetRole.PRIMARY } ->
                state.copy(groupsSeenWithPrimary = state.groupsSeenWithPrimary.add(group), withoutPrimarySince = since.remove(group))
            group in since -> state
            // A live primary would have announced itself since then.
            group !in state.groupsSeenWithPrimary -> state.copy(withoutPrimarySince = since.put(group, message.listeningSinceMillis))
            else -> state.copy(withoutPrimarySince = since.put(group, nowMillis))
        }
    }

    private fun reviewGroup(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> = when (val phase = state.phaseOf(group)) {
        is FailoverPhase.Watching -> PromotionFence.resume(state, group, records, message.designations)
            ?: watching(state, group, records, message, nowMillis)
        is FailoverPhase.Surveying -> surveying(state, group, phase, records, nowMillis)
        is FailoverPhase.Locating -> promote(SyncFailover.onReview(state, group, phase, records, nowMillis), group)
        is FailoverPhase.Fencing ->
            if (message.fencedRevision >= phase.revision) PromotionFence.promote(state, group, phase) else Decision(state)
        is FailoverPhase.Designating, is FailoverPhase.Promoting -> Decision(state)
        is FailoverPhase.Settling -> {
            val isPrimary = records.any { it.target == phase.target && it.role == TargetRole.PRIMARY }
            if (isPrimary || nowMillis >= phase.untilMillis) Decision(state.with(group, FailoverPhase.Watching)) else Decision(state)
        }
    }

    private fun watching(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val isSync = (message.syncReplicas[group] ?: 0) > 0
        val reason = reasonToReplace(state, group, records, message.unreachable, nowMillis)
        return when {
            reason == null -> if (isSync) SyncFailover.resume(state, group, records) else Decision(state)
            !isSync -> survey(state, group, records, message, reason, nowMillis)
            // By then every instance that can reach this VM has announced itself.
            nowMillis - message.listeningSinceMillis < settings.withoutPrimaryMillis -> Decision(state)
            else -> SyncFailover.begin(state, group, records, message, reason, nowMillis + settings.surveyMillis)
        }
    }

    private fun reasonToReplace(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        unreachable: Set<TargetId>,
        nowMillis: Long,
    ): String? {
        val primaries = records.filter { it.role == TargetRole.PRIMARY }
        val sinceMillis = state.withoutPrimarySince[group]
        return when {
            primaries.isEmpty() ->
                "the group has no primary".takeIf { sinceMillis != null && nowMillis - sinceMillis >= settings.withoutPrimaryMillis }
            primaries.all { it.target in unreachable } -> "most daemons can't reach ${primaries.first().target}"
            primaries.all { it.isLeaving || it.target in unreachable } -> "${primaries.first().target} is leaving"
            else -> null
        }
    }

    private fun survey(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        reason: String,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val candidates = records
            .filter { it.role == TargetRole.REPLICA && !it.isLeaving && it.target !in message.unreachable && it.target !in state.excluded }
            .map { it.target }
            .toSet()
        if (candidates.isEmpty()) return Decision(state.copy(excluded = persistentSetOf()))
        val phase = FailoverPhase.Surveying(
            candidates,
            deadlineMillis = nowMillis + settings.surveyMillis,
            reason = reason,
            replaced = records.singleOrNull { it.role == TargetRole.PRIMARY }?.target,
            designation = message.designations.byGroup[group]?.number ?: 0,
        )
        val surveys = candidates.map { FailoverEffect.Survey(group, it) }
        return Decision(
            state.with(group, phase),
            surveys.toPersistentList<FailoverEffect>().add(FailoverEffect.LogEvent(group, "survey", reason)),
        )
    }

    // A candidate that began to leave during the survey is not promoted.
    private fun surveying(
        state: FailoverState,
        group: GroupId,
        phase: FailoverPhase.Surveying,
        records: List<InstanceRecord>,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val leaving = records.filter { it.isLeaving }.map { it.target }.toSet()
        val answers = leaving.fold(phase.answers) { known, target -> known.remove(target) }
        val kept = phase.copy(candidates = phase.candidates - leaving, answers = answers)
        val isComplete = kept.answers.size == kept.candidates.size
        return if (isComplete || nowMillis >= phase.deadlineMillis) choose(state, group, kept) else Decision(state.with(group, kept))
    }

    private fun surveyed(state: FailoverState, message: FailoverMessage.Surveyed): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group) as? FailoverPhase.Surveying ?: return Decision(state)
        if (message.target !in phase.candidates) return Decision(state)
        val status = message.status
        val next =
            if (status == null) {
                phase.copy(candidates = phase.candidates - message.target)
            } else {
                phase.copy(answers = phase.answers.put(message.target, status))
            }
        val updated = state.with(message.group, next)
        return if (next.answers.size == next.candidates.size) choose(updated, message.group, next) else Decision(updated)
    }

    // Promoting the replica with the newest position loses the fewest commits.
    private fun choose(state: FailoverState, group: GroupId, phase: FailoverPhase.Surveying): Decision<FailoverState, FailoverEffect> {
        val best = phase.answers.entries.maxWithOrNull { a, b -> CommitTimeline.compare(a.value.received, b.value.received) }
            ?: return Decision(
                state.with(group, FailoverPhase.Watching).copy(excluded = persistentSetOf()),
                persistentListOf(FailoverEffect.LogEvent(group, "no replica to promote", phase.reason)),
            )
        return promote(state, group, PromotionChoice(best.key, best.value.received, phase.reason, phase.replaced, phase.designation))
    }

    private fun located(
        state: FailoverState,
        message: FailoverMessage.HolderAnswered,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group) as? FailoverPhase.Locating ?: return Decision(state)
        val deadlineMillis = nowMillis + settings.surveyMillis
        return promote(SyncFailover.onAnswer(state, phase, message, deadlineMillis), message.group)
    }

    private fun promote(step: LocatingStep, group: GroupId): Decision<FailoverState, FailoverEffect> =
        step.choice?.let { promote(step.decision.state, group, it) } ?: step.decision

    private fun promote(state: FailoverState, group: GroupId, choice: PromotionChoice): Decision<FailoverState, FailoverEffect> {
        if (!settings.isFencedByPlatform) return PromotionFence.designate(state, group, choice)
        val order = state.orderCounts[group] ?: 0
        return Decision(
            state
                .with(group, FailoverPhase.Promoting(choice.target, choice.reason, order))
                .copy(orderCounts = state.orderCounts.put(group, order + 1)),
            persistentListOf(
                FailoverEffect.LogEvent(group, "promoting ${choice.target}, which received ${choice.received}", choice.reason),
                FailoverEffect.Promote(group, choice.target, delayMillis = 0, order),
            ),
        )
    }

    private fun ordered(
        state: FailoverState,
        message: FailoverMessage.PromotionAttempted,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group) as? FailoverPhase.Promoting ?: return Decision(state)
        if (phase.target != message.target) return Decision(state)
        return when (message.outcome) {
            PromotionOutcome.DONE -> Decision(
                state
                    .with(message.group, FailoverPhase.Settling(phase.target, nowMillis + settings.settleMillis))
                    .copy(excluded = persistentSetOf(), withoutPrimarySince = state.withoutPrimarySince.remove(message.group)),
                persistentListOf(FailoverEffect.LogEvent(message.group, "promoted ${phase.target}", phase.reason)),
            )
            PromotionOutcome.REFUSED -> Decision(
                state.with(message.group, FailoverPhase.Watching).copy(excluded = state.excluded.add(phase.target)),
                persistentListOf(FailoverEffect.LogEvent(message.group, "promotion of ${phase.target} refused", phase.reason)),
            )
            // No other instance is ordered to lead while this one may be about to.
            PromotionOutcome.UNKNOWN -> Decision(
                state,
                persistentListOf(FailoverEffect.Promote(message.group, phase.target, delayMillis = REPEAT_MILLIS, phase.order)),
            )
        }
    }

    private companion object {
        /** Delay before an unanswered order is repeated, in ms; the rate of orders is limited. */
        const val REPEAT_MILLIS = 200L
    }
}
