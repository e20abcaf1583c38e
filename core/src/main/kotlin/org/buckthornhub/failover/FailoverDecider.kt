package org.buckthornhub.failover

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.decision.then
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.CommitHorizon
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Replaces primaries that are gone, can't be reached by most daemons, or announce that they leave. */
public class FailoverDecider(private val settings: FailoverSettings = FailoverSettings()) :
    Decider<FailoverState, FailoverMessage, FailoverEffect> {
    override fun decide(state: FailoverState, message: FailoverMessage, nowMillis: Long): Decision<FailoverState, FailoverEffect> =
        when (message) {
            is FailoverMessage.Review -> review(state, message, nowMillis)
            is FailoverMessage.Surveyed -> surveyed(state, message)
            is FailoverMessage.Ordered -> ordered(state, message, nowMillis)
        }

    private fun review(state: FailoverState, message: FailoverMessage.Review, nowMillis: Long): Decision<FailoverState, FailoverEffect> =
        message.records.groupBy { it.group }.entries.fold(Decision(state)) { decision, (group, records) ->
            decision.then {
                reviewGroup(noteLeader(it, group, records, message, nowMillis), group, records, message.unreachable, nowMillis)
            }
        }

    private fun noteLeader(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        nowMillis: Long,
    ): FailoverState {
        val since = state.leaderlessSince
        return when {
            records.any { it.role == TargetRole.PRIMARY } ->
                state.copy(seenLed = state.seenLed.add(group), leaderlessSince = since.remove(group))
            group in since -> state
            // A primary that lives would have announced itself since then.
            group !in state.seenLed -> state.copy(leaderlessSince = since.put(group, message.listeningSinceMillis))
            else -> state.copy(leaderlessSince = since.put(group, nowMillis))
        }
    }

    private fun reviewGroup(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        unreachable: Set<TargetId>,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> = when (val phase = state.phaseOf(group)) {
        is FailoverPhase.Watching -> reasonToReplace(state, group, records, unreachable, nowMillis)
            ?.let { survey(state, group, records, unreachable, it, nowMillis) } ?: Decision(state)
        is FailoverPhase.Surveying -> if (nowMillis >= phase.deadlineMillis) choose(state, group, phase) else Decision(state)
        is FailoverPhase.Promoting -> Decision(state)
        is FailoverPhase.Settling -> {
            val leads = records.any { it.target == phase.target && it.role == TargetRole.PRIMARY }
            if (leads || nowMillis >= phase.untilMillis) Decision(state.with(group, FailoverPhase.Watching)) else Decision(state)
        }
    }

    private fun reasonToReplace(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        unreachable: Set<TargetId>,
        nowMillis: Long,
    ): String? {
        val leaders = records.filter { it.role == TargetRole.PRIMARY }
        val leaderless = state.leaderlessSince[group]
        return when {
            leaders.isEmpty() ->
                "no instance leads".takeIf { leaderless != null && nowMillis - leaderless >= settings.leaderlessMillis }
            leaders.all { it.target in unreachable } -> "most daemons can't reach ${leaders.first().target}"
            leaders.all { it.isLeaving || it.target in unreachable } -> "${leaders.first().target} leaves"
            else -> null
        }
    }

    private fun survey(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        unreachable: Set<TargetId>,
        reason: String,
        nowMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val candidates = records
            .filter { it.role == TargetRole.REPLICA && !it.isLeaving && it.target !in unreachable && it.target !in state.unfit }
            .map { it.target }
            .toSet()
        if (candidates.isEmpty()) return Decision(state.copy(unfit = persistentSetOf()))
        val phase = FailoverPhase.Surveying(candidates, deadlineMillis = nowMillis + settings.surveyMillis, reason = reason)
        val asks = candidates.map { FailoverEffect.Survey(group, it) }
        return Decision(state.with(group, phase), asks.toPersistentList<FailoverEffect>().add(FailoverEffect.Note(group, "survey", reason)))
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

    // The one that received most loses the fewest commits.
    private fun choose(state: FailoverState, group: GroupId, phase: FailoverPhase.Surveying): Decision<FailoverState, FailoverEffect> {
        val best = phase.answers.entries.maxWithOrNull { a, b -> CommitHorizon.compare(a.value.received, b.value.received) }
            ?: return Decision(
                state.with(group, FailoverPhase.Watching).copy(unfit = persistentSetOf()),
                persistentListOf(FailoverEffect.Note(group, "no candidate", phase.reason)),
            )
        return Decision(
            state.with(group, FailoverPhase.Promoting(best.key, phase.reason)),
            persistentListOf(
                FailoverEffect.Note(group, "promote ${best.key} at ${best.value.received}", phase.reason),
                FailoverEffect.Promote(group, best.key, delayMillis = 0),
            ),
        )
    }

    private fun ordered(state: FailoverState, message: FailoverMessage.Ordered, nowMillis: Long): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group) as? FailoverPhase.Promoting ?: return Decision(state)
        if (phase.target != message.target) return Decision(state)
        return when (message.outcome) {
            PromotionOutcome.DONE -> Decision(
                state
                    .with(message.group, FailoverPhase.Settling(phase.target, nowMillis + settings.settleMillis))
                    .copy(unfit = persistentSetOf(), leaderlessSince = state.leaderlessSince.remove(message.group)),
                persistentListOf(FailoverEffect.Note(message.group, "promoted ${phase.target}", phase.reason)),
            )
            PromotionOutcome.REFUSED -> Decision(
                state.with(message.group, FailoverPhase.Watching).copy(unfit = state.unfit.add(phase.target)),
                persistentListOf(FailoverEffect.Note(message.group, "promotion of ${phase.target} refused", phase.reason)),
            )
            // Another instance must not be named: the first order may still be carried out after the second.
            PromotionOutcome.UNKNOWN -> Decision(
                state,
                persistentListOf(FailoverEffect.Promote(message.group, phase.target, delayMillis = REPEAT_MILLIS)),
            )
        }
    }

    private companion object {
        /** Pause before an unanswered order is sent again, in ms; orders are limited by rate. */
        const val REPEAT_MILLIS = 200L
    }
}
