package org.buckthornhub.replication

import com.github.michaelbull.result.Ok
import org.buckthornhub.control.ControlStateMachine

/** Finds out what a majority has, and applies it. */
internal object Commitment {
    /** As the leader: commits what a majority stored, and confirms the rounds that a majority answered. */
    fun advance(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val state = start.state
        val index = majorityValue(state, state.log.lastIndex) { leader.followers[it]?.matchIndex ?: 0 }
        val isOwnTerm = state.log.termAt(index) == state.durable.term
        val step = if (index > state.commitIndex && isOwnTerm) commitTo(start, index) else start
        return confirmRounds(step, nowMillis)
    }

    /** Applies the entries up to [index], which has to be committed, and answers those who wait for them. */
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
        val token = leader.answers[index] ?: return next
        return next.updateLeader { copy(answers = answers.remove(index)) }.emit(ReplicationEffect.AnswerProposal(token, Ok(outcome)))
    }

    private fun compact(step: Step): Step {
        val state = step.state
        val log = state.log
        if (state.commitIndex - log.snapshot.index < state.settings.compactAfter) return step
        val term = checkNotNull(log.termAt(state.commitIndex)) { "the last committed entry is not in the log" }
        val snapshot = Snapshot(state.commitIndex, term, log.membersAt(state.commitIndex), state.machine)
        return step.updateDurable { copy(log = log.compact(snapshot)) }
    }

    private fun confirmRounds(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val round = majorityValue(start.state, leader.round) { leader.followers[it]?.ackedRound ?: 0 }
        if (round <= leader.confirmedRound) return start
        val confirmed = leader.sentMillis[round] ?: nowMillis
        val isSettled = start.state.commitIndex >= leader.firstIndex
        val step = start.updateLeader {
            copy(
                confirmedRound = round,
                confirmedMillis = confirmed,
                sentMillis = sentMillis.keys.filter { it <= round }.fold(sentMillis) { map, key -> map.remove(key) },
                followers = followers.entries.fold(followers) { map, (member, it) ->
                    if (isSettled && it.echo != null && it.echoRound <= round) map.put(member, it.copy(confirmedEcho = it.echo)) else map
                },
            )
        }
        if (!isSettled) return step
        val fresh = if (confirmed < start.state.awakeSinceMillis) step else step.update { copy(freshMillis = confirmed) }
        return Proposals.answerConfirmations(fresh, round)
    }

    // The highest value that more than half of the members reach.
    private fun majorityValue(state: ReplicationState, own: Long, valueOf: (Member) -> Long): Long {
        val values = state.log.members.map { if (it == state.self) own else valueOf(it) }.sortedDescending()
        return values.getOrElse(values.size / 2) { 0 }
    }
}
