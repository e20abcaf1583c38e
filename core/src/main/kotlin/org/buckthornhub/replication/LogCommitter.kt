package org.buckthornhub.replication

import com.github.michaelbull.result.Ok
import org.buckthornhub.control.ControlStateMachine

/** Advances the commit index of the leader and applies committed entries to the state machine. */
internal object LogCommitter {
    /** On the leader, commits the entries that a majority has stored and confirms the rounds that a majority has acknowledged. */
    fun advance(start: Step): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val state = start.state
        val index = majorityValue(state, state.log.lastIndex) { leader.followers[it]?.matchIndex ?: 0 }
        val isOwnTerm = state.log.termAt(index) == state.durable.term
        val step = if (index > state.commitIndex && isOwnTerm) commitTo(start, index) else start
        return confirmRounds(step)
    }

    /** Applies the entries up to [index], which must be committed, and completes the proposals that wait for them. */
    fun commitTo(start: Step, index: Long): Step {
        val last = minOf(index, start.state.log.lastIndex)
        val applied = (start.state.commitIndex + 1..last).fold(start) { step, next -> apply(step, next) }
        return compact(applied)
    }

    private fun apply(step: Step, index: Long): Step {
        val entry = checkNotNull(step.state.log.entryAt(index)) { "entry $index is not in the log" }
        val command = (entry.content as? EntryContent.Command)?.command ?: return step.update { copy(commitIndex = index) }
        val (machine, outcome) = ControlStateMachine.apply(step.state.machine, command)
        val next = step.update { copy(commitIndex = index, machine = machine) }
        val leader = next.state.role as? Role.Leader ?: return next
        val token = leader.proposals[index] ?: return next
        return next.updateLeader { copy(proposals = proposals.remove(index)) }.emit(ReplicationEffect.AnswerProposal(token, Ok(outcome)))
    }

    private fun compact(step: Step): Step {
        val state = step.state
        val log = state.log
        val applied = state.commitIndex - log.snapshot.index
        val isDue = applied >= state.settings.compactAfter ||
            log.entries.take(applied.toInt()).sumOf { it.content.chars.toLong() } >= state.settings.compactAfterChars
        if (!isDue) return step
        val term = checkNotNull(log.termAt(state.commitIndex)) { "the last committed entry is not in the log" }
        val snapshot = Snapshot(state.commitIndex, term, log.membersAt(state.commitIndex), state.machine)
        return step.updateDurable { copy(log = log.compact(snapshot)) }
    }

    private fun confirmRounds(start: Step): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val round = majorityValue(start.state, leader.round) { leader.followers[it]?.ackedRound ?: 0 }
        if (round <= leader.confirmedRound) return start
        val confirmed = leader.roundSentMillis[round] ?: leader.confirmedMillis
        val isOwnTerm = start.state.commitIndex >= leader.firstIndex
        val step = start.updateLeader {
            copy(
                confirmedRound = round,
                confirmedMillis = confirmed,
                roundSentMillis = roundSentMillis.keys.filter { it <= round }.fold(roundSentMillis) { map, key -> map.remove(key) },
                followers = followers.entries.fold(followers) { map, (member, it) ->
                    if (isOwnTerm && it.echo != null && it.echoRound <= round) map.put(member, it.copy(confirmedEcho = it.echo)) else map
                },
            )
        }
        if (!isOwnTerm) return step
        val fresh = if (confirmed < start.state.resumedAtMillis) step else step.update { copy(freshMillis = confirmed) }
        return Proposals.answerConfirmations(fresh, round)
    }

    // Returns the highest value that a majority of the members has reached.
    private fun majorityValue(state: ReplicationState, own: Long, valueOf: (Member) -> Long): Long {
        val values = state.log.members.map { if (it == state.self) own else valueOf(it) }.sortedDescending()
        return values.getOrElse(values.size / 2) { 0 }
    }
}
