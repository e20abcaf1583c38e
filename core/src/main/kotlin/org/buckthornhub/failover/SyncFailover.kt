package org.buckthornhub.failover

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decision
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * Failover of a group whose primary acknowledges a commit once some replicas have received it: only an instance that holds every
 * acknowledged commit is promoted, and until one is known to, none is.
 *
 * Whatever keeps a replica from answering, it counts as one that may hold commits that others lack: a busy slot, a slow or silent
 * link, a shutdown, a refused promotion.
 */
internal object SyncFailover {
    /** Remembers the addresses of [group], if it has synchronous replicas. */
    fun trackAddresses(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        nowMillis: Long,
    ): FailoverState {
        if ((message.syncReplicas[group] ?: 0) == 0) return state
        val known = state.addresses[group] ?: KnownAddresses()
        val addresses = known.with(records, message.records, nowMillis)
        return if (addresses === known) state else state.copy(addresses = state.addresses.put(group, addresses))
    }

    /** Asks the replicas of [group] for their positions. */
    fun begin(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        message: FailoverMessage.Review,
        reason: String,
        deadlineMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val primaries = records.filter { it.role == TargetRole.PRIMARY }
        val replaced = primaries.singleOrNull()?.target
        val holders = records.map { it.target }.toSet() - setOfNotNull(replaced)
        if (holders.isEmpty()) return Decision(state)
        // Of several instances that claim to lead, at most one does, and which one is not known.
        val known = if (primaries.size > 1) holders.size - 1 else holders.size
        val replicas = known + (state.addresses[group]?.vacantSinceMillis?.size ?: 0)
        val phase = FailoverPhase.Locating(
            holders,
            needed = AcknowledgedCommits.answersNeeded(replicas, message.syncReplicas.getValue(group)),
            deadlineMillis,
            reason,
            round = state.rounds + 1,
            leaving = leavingOf(records),
            mayPromoteLeaving = primaries.all { it.target in message.unreachable },
            replaced = replaced,
            designation = message.designations.byGroup[group]?.number ?: 0,
        )
        val event = FailoverEffect.LogEvent(group, "survey of $replicas replicas, of which ${phase.needed} have to answer", reason)
        return Decision(started(state, group, phase), surveyOf(group, phase).toPersistentList<FailoverEffect>().add(event))
    }

    fun onReview(
        state: FailoverState,
        group: GroupId,
        phase: FailoverPhase.Locating,
        records: List<InstanceRecord>,
        nowMillis: Long,
    ): LocatingStep {
        val current = phase.copy(leaving = leavingOf(records))
        if (nowMillis < phase.deadlineMillis) return LocatingStep(Decision(state.with(group, current)))
        return step(state, group, current.copy(silent = current.holders - current.answers.keys), phase.deadlineMillis)
    }

    /** @param deadlineMillis end of the second round, if this answer starts it */
    fun onAnswer(
        state: FailoverState,
        phase: FailoverPhase.Locating,
        message: FailoverMessage.HolderAnswered,
        deadlineMillis: Long,
    ): LocatingStep {
        if (message.target !in phase.holders || message.round != phase.round) return LocatingStep(Decision(state))
        // A primary that still leads says nothing about what replicas have received.
        val status = message.status?.takeIf { it.role == TargetRole.REPLICA }
        val next =
            if (status == null) {
                phase.copy(silent = phase.silent + message.target)
            } else {
                phase.copy(answers = phase.answers.put(message.target, status), silent = phase.silent - message.target)
            }
        return step(state, message.group, next, deadlineMillis)
    }

    /** Makes replicas of a healthy group receive commits that a failover, perhaps one of an earlier leader, may have paused. */
    fun resume(state: FailoverState, group: GroupId, records: List<InstanceRecord>): Decision<FailoverState, FailoverEffect> {
        val paused = records.filter { it.role == TargetRole.REPLICA && it.target !in state.receiving }.map { it.target }
        if (paused.isEmpty()) return Decision(state)
        val effects = paused.map { FailoverEffect.Resume(group, it) }
        return Decision(state.copy(receiving = state.receiving.addAll(paused)), effects.toPersistentList())
    }

    fun onResumed(state: FailoverState, message: FailoverMessage.Resumed): Decision<FailoverState, FailoverEffect> =
        Decision(if (message.isDone) state else state.copy(receiving = state.receiving.remove(message.target)))

    private fun step(state: FailoverState, group: GroupId, phase: FailoverPhase.Locating, deadlineMillis: Long): LocatingStep {
        val isOver = phase.answers.size + phase.silent.size == phase.holders.size
        val hasEnough = phase.answers.size >= phase.needed
        if (phase.pauseIn == null && hasEnough) return LocatingStep(pause(state, group, phase, deadlineMillis))
        val choice = if (phase.pauseIn == null) null else choose(state, phase)
        return when {
            choice != null -> LocatingStep(Decision(state), choice)
            isOver -> LocatingStep(giveUp(state, group, phase))
            else -> LocatingStep(Decision(state.with(group, phase)))
        }
    }

    private fun pause(
        state: FailoverState,
        group: GroupId,
        phase: FailoverPhase.Locating,
        deadlineMillis: Long,
    ): Decision<FailoverState, FailoverEffect> {
        val newest = phase.answers.values.maxOf { it.received.term }
        val next = phase.copy(
            deadlineMillis = deadlineMillis,
            round = state.rounds + 1,
            pauseIn = newest.next(),
            answers = persistentMapOf(),
            silent = emptySet(),
        )
        val paused = phase.holders.fold(state.receiving) { receiving, target -> receiving.remove(target) }
        return Decision(started(state.copy(receiving = paused), group, next), surveyOf(group, next).toPersistentList())
    }

    private fun started(state: FailoverState, group: GroupId, phase: FailoverPhase.Locating): FailoverState =
        state.copy(rounds = phase.round).with(group, phase)

    private fun choose(state: FailoverState, phase: FailoverPhase.Locating): PromotionChoice? {
        val target = AcknowledgedCommits.holdersOfAll(phase.answers, phase.needed)
            .filter { it !in state.excluded && (phase.mayPromoteLeaving || it !in phase.leaving) }
            .maxWithOrNull(compareBy<TargetId> { it !in phase.leaving }.then { a, b -> compare(phase, a, b) }) ?: return null
        return PromotionChoice(target, phase.answers.getValue(target).received, phase.reason, phase.replaced, phase.designation)
    }

    private fun compare(phase: FailoverPhase.Locating, a: TargetId, b: TargetId): Int =
        CommitTimeline.compare(phase.answers.getValue(a).received, phase.answers.getValue(b).received)

    // The next review starts over while the reason to replace the primary remains.
    private fun giveUp(state: FailoverState, group: GroupId, phase: FailoverPhase.Locating): Decision<FailoverState, FailoverEffect> {
        val answered = phase.answers.entries.joinToString { (target, status) ->
            "$target ${if (status.isComplete) "received" else "is busy and applied"} ${status.received}"
        }
        val event = "no replica is known to hold every acknowledged commit: ${phase.needed} of ${phase.holders} have to answer, " +
            "answers: [$answered]"
        return Decision(
            state.with(group, FailoverPhase.Watching).copy(excluded = persistentSetOf()),
            persistentListOf(FailoverEffect.LogEvent(group, event, phase.reason)),
        )
    }

    private fun surveyOf(group: GroupId, phase: FailoverPhase.Locating): List<FailoverEffect> =
        phase.holders.map { FailoverEffect.SurveyHolder(group, it, phase.round, phase.pauseIn) }

    private fun leavingOf(records: List<InstanceRecord>): Set<TargetId> = records.filter { it.isLeaving }.map { it.target }.toSet()
}
