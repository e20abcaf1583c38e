package org.buckthornhub.replication

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError

/** Handles requests of local callers to the leader: proposals and leadership confirmations. */
internal object Proposals {
    fun propose(start: Step, message: ReplicationMessage.Propose): Step {
        val leader = start.state.role as? Role.Leader
            ?: return start.emit(ReplicationEffect.AnswerProposal(message.token, Err(notLeaderError(start.state))))
        if (isFull(start.state, leader, message)) {
            val error = ProxyError(ErrorKind.NO_QUORUM, "as many commands wait for a majority as this VM has memory for")
            return start.emit(ReplicationEffect.AnswerProposal(message.token, Err(error)))
        }
        val step = start.updateLeader { copy(queuedProposals = queuedProposals.add(message)) }
        return if (leader.queuedProposals.isEmpty()) step.emit(ReplicationEffect.ScheduleFlush) else step
    }

    // Without a majority the log would grow until the memory of the process is used up.
    private fun isFull(state: ReplicationState, leader: Role.Leader, message: ReplicationMessage.Propose): Boolean {
        val appended = state.log.entries.drop((state.commitIndex - state.log.snapshot.index).toInt()).map { it.content }
        val pending = appended + leader.queuedProposals.map { EntryContent.Command(it.command) }
        if (pending.isEmpty()) return false
        return pending.sumOf { it.chars.toLong() } + EntryContent.Command(message.command).chars > state.settings.maxPendingChars
    }

    fun flush(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        if (leader.queuedProposals.isEmpty()) return start
        val appended = leader.queuedProposals.fold(start) { step, proposal ->
            LeaderReplication
                .append(step, EntryContent.Command(proposal.command))
                .let { next -> next.updateLeader { copy(proposals = proposals.put(next.state.log.lastIndex, proposal.token)) } }
        }
        return LeaderReplication.broadcast(appended.updateLeader { copy(queuedProposals = queuedProposals.clear()) }, nowMillis)
    }

    fun confirm(start: Step, token: Long, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader
            ?: return start.emit(ReplicationEffect.AnswerConfirmation(token, Err(notLeaderError(start.state))))
        val step = start.updateLeader { copy(pendingConfirmations = pendingConfirmations.put(token, leader.round + 1)) }
        return LeaderReplication.broadcast(step, nowMillis)
    }

    fun answerConfirmations(start: Step, round: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val due = leader.pendingConfirmations.filterValues { it <= round }.keys
        val step = start.updateLeader { copy(pendingConfirmations = due.fold(pendingConfirmations) { map, token -> map.remove(token) }) }
        return due.fold(step) { s, token -> s.emit(ReplicationEffect.AnswerConfirmation(token, Ok(start.state.durable.term))) }
    }

    /** Fails all pending proposals and confirmations, because this member is no longer the leader. */
    fun failPending(step: Step): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val error = ProxyError(ErrorKind.NO_QUORUM, "the leader changed before a majority had answered")
        val tokens = leader.proposals.values + leader.queuedProposals.map { it.token }
        val answered = tokens.fold(step) { s, token -> s.emit(ReplicationEffect.AnswerProposal(token, Err(error))) }
        return leader.pendingConfirmations.keys.fold(answered) { s, token ->
            s.emit(ReplicationEffect.AnswerConfirmation(token, Err(error)))
        }
    }

    private fun notLeaderError(state: ReplicationState): ProxyError {
        val leader = (state.role as? Role.Follower)?.leader?.vm
        return ProxyError(ErrorKind.NO_QUORUM, "this VM does not lead the control quorum; the leader is ${leader ?: "not known"}")
    }
}
