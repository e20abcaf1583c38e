package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decision
import org.buckthornhub.group.LogPosition
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.TargetFault

/** Replicates the log of the primary to an instance and handles changes of the primary. */
internal class ReplicationRules {
    fun promote(state: InstanceState, message: InstanceMessage.Promote): InstanceDecision {
        if (message.term <= state.term) {
            return state.refusing(message.reply, TargetFault.Code.STALE_TERM, "already in term ${state.term.value}")
        }
        val applied = state.appliedUpTo(state.received).copy(pendingApplies = persistentListOf(), arriving = persistentListOf())
        return applied.copy(role = TargetRole.PRIMARY, term = message.term).answering(message.reply, Ok(Unit))
    }

    fun follow(state: InstanceState, message: InstanceMessage.Follow): InstanceDecision {
        if (message.term < state.term) {
            return state.refusing(message.reply, TargetFault.Code.STALE_TERM, "already in term ${state.term.value}")
        }
        if (message.primary == state.target) return state.answering(message.reply, Ok(Unit))
        val followed = state.copy(role = TargetRole.REPLICA, term = message.term).withoutTransactions()
        val answered = followed.answering(message.reply, Ok(Unit))
        return answered.copy(effects = answered.effects.add(requestLog(followed, message.primary)))
    }

    fun receive(state: InstanceState, message: InstanceMessage.Replicate, nowMillis: Long): InstanceDecision = when {
        !state.faults.reaches(message.zone) || state.role == TargetRole.PRIMARY || message.term < state.term -> Decision(state)
        state.receiveLagMillis > 0 ->
            Decision(state.copy(arriving = state.arriving.add(DelayedReplicate(nowMillis + state.receiveLagMillis, message))))
        else -> store(state, message, nowMillis)
    }

    fun store(state: InstanceState, message: InstanceMessage.Replicate, nowMillis: Long): InstanceDecision {
        if (message.term < state.term || state.role == TargetRole.PRIMARY) return Decision(state)
        val end = message.after.value + message.entries.size
        val isKnown = state.termAt(LogPosition(end)) == (message.entries.lastOrNull()?.term ?: message.afterTerm)
        val isNext = message.after == state.received && state.termAt(message.after) == message.afterTerm
        return when {
            isNext -> Decision(applying(state.copy(term = message.term, log = state.log.addAll(message.entries)), nowMillis))
            isKnown && end >= state.received.value -> Decision(state.copy(term = message.term))
            isKnown && state.log.lastOrNull()?.term == message.term -> Decision(state) // A delayed, outdated message.
            else -> Decision(state, persistentListOf(requestLog(state, message.sender)))
        }
    }

    fun logFor(state: InstanceState, message: InstanceMessage.RequestLog): InstanceDecision {
        if (state.role != TargetRole.PRIMARY || !state.faults.reaches(message.zone)) return Decision(state)
        val log = InstanceMessage.CatchUp(state.zone, state.term, state.log)
        return Decision(state, persistentListOf(InstanceEffect.Send(message.sender, log)))
    }

    fun catchUp(state: InstanceState, message: InstanceMessage.CatchUp, nowMillis: Long): InstanceDecision {
        val isRelevant = state.faults.reaches(message.zone) && state.role == TargetRole.REPLICA && message.term >= state.term
        if (!isRelevant) return Decision(state)
        val common = commonLength(state.log, message.log)
        val tail = state.log.subList(common, state.log.size)
        if (common == message.log.size && tail.lastOrNull()?.term == message.term) return Decision(state) // Outdated.
        val next = state.copy(log = message.log, term = message.term, discarded = state.discarded.addAll(tail))
        val effects = if (tail.isEmpty()) persistentListOf() else persistentListOf(InstanceEffect.Discarded(tail.size))
        return Decision(applying(if (state.applied.value > common) rebuilt(next, common) else next, nowMillis), effects)
    }

    /** Stores delayed entries and applies pending ones that are due at [nowMillis]. */
    fun advance(state: InstanceState, nowMillis: Long): InstanceDecision {
        val due = state.arriving.takeWhile { it.dueMillis <= nowMillis }
        val waiting = state.copy(arriving = state.arriving.subList(due.size, state.arriving.size).toPersistentList())
        val stored =
            due.fold(Decision<InstanceState, InstanceEffect>(waiting)) { decision, delayed ->
                val next = store(decision.state, delayed.message, nowMillis)
                Decision(next.state, decision.effects.addAll(next.effects))
            }
        return Decision(applied(stored.state, nowMillis), stored.effects)
    }

    private fun applying(state: InstanceState, nowMillis: Long): InstanceState {
        val pending = PendingApply(nowMillis + state.applyLagMillis, state.received)
        return applied(state.copy(pendingApplies = state.pendingApplies.add(pending)), nowMillis)
    }

    private fun applied(state: InstanceState, nowMillis: Long): InstanceState {
        val due = state.pendingApplies.takeWhile { it.dueMillis <= nowMillis }
        val last = due.lastOrNull() ?: return state
        return state
            .appliedUpTo(last.position)
            .copy(pendingApplies = state.pendingApplies.subList(due.size, state.pendingApplies.size).toPersistentList())
    }

    private fun rebuilt(state: InstanceState, length: Int): InstanceState = state
        .copy(applied = LogPosition.START, data = persistentMapOf(), requests = persistentSetOf(), pendingApplies = persistentListOf())
        .appliedUpTo(LogPosition(length.toLong()))

    // Logs with equal terms at a position are equal up to it, so the common length can be found by binary search.
    private fun commonLength(own: PersistentList<LogEntry>, other: PersistentList<LogEntry>): Int {
        var low = 0
        var high = minOf(own.size, other.size)
        while (low < high) {
            val middle = (low + high + 1) / 2
            if (own[middle - 1].term == other[middle - 1].term) low = middle else high = middle - 1
        }
        return low
    }

    private fun requestLog(state: InstanceState, primary: TargetId) =
        InstanceEffect.Send(primary, InstanceMessage.RequestLog(state.target, state.zone))
}
