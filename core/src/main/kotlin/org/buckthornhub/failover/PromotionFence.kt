package org.buckthornhub.failover

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decision
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.target.TargetRole

/**
 * Keeps an old primary from being used beside its successor where the platform does not fence it.
 *
 * Answers the pattern of a primary that is cut off from the control VMs but not from all daemons: it goes on acknowledging commits
 * after the promotion. The successor is first committed by the control quorum, and promoted only once the old primary has given up
 * its role, or every daemon obeys the designation or has lost its lease.
 */
internal object PromotionFence {
    /** Designates the instance of [choice], and asks the primary that it replaces to give up its role, if that one can be reached. */
    fun designate(state: FailoverState, group: GroupId, choice: PromotionChoice): Decision<FailoverState, FailoverEffect> {
        val stop = choice.replaced?.let { FailoverEffect.StopPrimary(group, it, choice.received.term.next()) }
        val effects = listOfNotNull(
            FailoverEffect.LogEvent(group, "designating ${choice.target}", choice.reason),
            FailoverEffect.Designate(group, choice.target, choice.designation),
            stop,
        )
        val phase = FailoverPhase.Designating(choice.target, choice.reason, choice.replaced)
        return Decision(state.with(group, phase), effects.toPersistentList())
    }

    fun onDesignated(state: FailoverState, message: FailoverMessage.Designated): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group) as? FailoverPhase.Designating ?: return Decision(state)
        if (phase.target != message.target) return Decision(state)
        val designations = message.designations ?: return Decision(
            state.with(message.group, FailoverPhase.Watching),
            persistentListOf(FailoverEffect.LogEvent(message.group, "${message.target} was not designated", phase.reason)),
        )
        val fencing = FailoverPhase.Fencing(phase.target, designations.revision, phase.reason, phase.replaced)
        // Only an announcement of the new primary shows from now on that the group is led.
        val next = state.with(message.group, fencing).copy(groupsSeenWithPrimary = state.groupsSeenWithPrimary.remove(message.group))
        return if (phase.isReplacedStopped) promote(next, message.group, fencing) else Decision(next)
    }

    /** The old primary may give up its role before or after the designation is committed; the promotion needs both. */
    fun onPrimaryStopped(state: FailoverState, message: FailoverMessage.PrimaryStopped): Decision<FailoverState, FailoverEffect> {
        val phase = state.phaseOf(message.group)
        return when {
            phase is FailoverPhase.Designating && phase.replaced == message.target ->
                Decision(state.with(message.group, phase.copy(isReplacedStopped = true)))
            phase is FailoverPhase.Fencing && phase.replaced == message.target -> promote(state, message.group, phase)
            else -> Decision(state)
        }
    }

    fun promote(state: FailoverState, group: GroupId, phase: FailoverPhase.Fencing): Decision<FailoverState, FailoverEffect> = Decision(
        state.with(group, FailoverPhase.Promoting(phase.target, phase.reason)),
        persistentListOf(
            FailoverEffect.LogEvent(group, "promoting ${phase.target}, as no daemon can use the old primary", phase.reason),
            FailoverEffect.Promote(group, phase.target, delayMillis = 0),
        ),
    )

    /**
     * Repeats the order to a designated instance that has not led yet; null if there is none.
     *
     * An earlier leader may have ordered its promotion without learning the result, so that no other instance may be promoted
     * until this one has led or refused. One that has led since is replaced like any other primary: it may have restarted empty.
     */
    fun resume(
        state: FailoverState,
        group: GroupId,
        records: List<InstanceRecord>,
        designations: PrimaryDesignations,
    ): Decision<FailoverState, FailoverEffect>? {
        val target = designations.byGroup[group]?.target?.takeIf { group !in state.groupsSeenWithPrimary } ?: return null
        val record = records.firstOrNull { it.target == target } ?: return null
        if (record.role == TargetRole.PRIMARY || record.isLeaving || target in state.excluded) return null
        return Decision(state.with(group, FailoverPhase.Fencing(target, designations.revision, "$target is designated but does not lead")))
    }
}
