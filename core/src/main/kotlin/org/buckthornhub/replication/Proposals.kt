package org.buckthornhub.replication

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError

/** What callers ask of a leader: commits and confirmations. */
internal object Proposals {
    fun propose(start: Step, message: ReplicationMessage.Propose): Step {
        val leader = start.state.role as? Role.Leader
            ?: return start.emit(ReplicationEffect.AnswerProposal(message.token, Err(notLeading(start.state))))
        val step = start.updateLeader { copy(waiting = waiting.add(message)) }
        return if (leader.waiting.isEmpty()) step.emit(ReplicationEffect.ScheduleFlush) else step
    }

    fun flush(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        if (leader.waiting.isEmpty()) return start
        val appended = leader.waiting.fold(start) { step, proposal ->
            Leading
                .append(step, EntryContent.Command(proposal.command))
                .let { next -> next.updateLeader { copy(answers = answers.put(next.state.log.lastIndex, proposal.token)) } }
        }
        return Leading.broadcast(appended.updateLeader { copy(waiting = waiting.clear()) }, nowMillis)
    }

    fun confirm(start: Step, token: Long, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader
            ?: return start.emit(ReplicationEffect.AnswerConfirmation(token, Err(notLeading(start.state))))
        val step = start.updateLeader { copy(confirmations = confirmations.put(token, leader.round + 1)) }
        return Leading.broadcast(step, nowMillis)
    }

    fun answerConfirmations(start: Step, round: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val due = leader.confirmations.filterValues { it <= round }.keys
        val step = start.updateLeader { copy(confirmations = due.fold(confirmations) { map, token -> map.remove(token) }) }
        return due.fold(step) { s, token -> s.emit(ReplicationEffect.AnswerConfirmation(token, Ok(start.state.durable.term))) }
    }

    /** Answers all who wait that this member leads no more. */
    fun abandon(step: Step): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val error = ProxyError(ErrorKind.NO_QUORUM, "the leader changed before a majority had answered")
        val tokens = leader.answers.values + leader.waiting.map { it.token }
        val answered = tokens.fold(step) { s, token -> s.emit(ReplicationEffect.AnswerProposal(token, Err(error))) }
        return leader.confirmations.keys.fold(answered) { s, token -> s.emit(ReplicationEffect.AnswerConfirmation(token, Err(error))) }
    }

    private fun notLeading(state: ReplicationState): ProxyError {
        val leader = (state.role as? Role.Follower)?.leader?.vm
        return ProxyError(ErrorKind.NO_QUORUM, "this VM does not lead the control quorum; the leader is ${leader ?: "not known"}")
    }
}
