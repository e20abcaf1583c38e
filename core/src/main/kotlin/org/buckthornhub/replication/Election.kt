package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random

/** Elections with a vote before the vote, so that a member that was cut off disturbs nobody on its return. */
internal object Election {
    fun tick(start: Step, nowMillis: Long): Step {
        val due = start.state.electionAtMillis ?: return restartTimer(start, nowMillis)
        return if (nowMillis < due) start else standForPreVote(restartTimer(start, nowMillis), nowMillis)
    }

    fun restartTimer(step: Step, nowMillis: Long): Step {
        val random = Random(step.state.seed)
        val wait = step.state.settings.electionMillis.let { random.nextLong(it, it * 2) }
        return step.update { copy(seed = random.nextLong(), electionAtMillis = nowMillis + wait) }
    }

    /** Follows [leader] in [term]; drops the vote only when the term is new. */
    fun follow(start: Step, term: Long, leader: Member?, nowMillis: Long): Step {
        val state = start.state
        val heard = nowMillis.takeIf { leader != null } ?: (state.role as? Role.Follower)?.heardMillis
        val step = Proposals.abandon(start).update { copy(role = Role.Follower(leader, heard)) }
        return if (term == state.durable.term) step else step.updateDurable { copy(term = term, votedFor = null) }
    }

    fun voteRequest(start: Step, message: PeerMessage.VoteRequest, nowMillis: Long): Step {
        if (message.isPreVote) return answer(start, message, mayPreVote(start.state, message, nowMillis))
        val step = if (message.term > start.state.durable.term) follow(start, message.term, leader = null, nowMillis) else start
        if (!mayVote(step.state, message)) return answer(step, message, isGranted = false)
        val voted = step.updateDurable { copy(votedFor = message.from) }
        return answer(restartTimer(voted, nowMillis), message, isGranted = true)
    }

    fun voteAnswer(start: Step, message: PeerMessage.VoteAnswer, nowMillis: Long): Step {
        val state = start.state
        if (!message.isGranted) return if (message.term > state.durable.term) follow(start, message.term, null, nowMillis) else start
        val role = state.role
        return when {
            message.isPreVote && role is Role.PreCandidate && message.term == state.durable.term + 1 ->
                countPreVotes(start, role.votes.add(message.from), nowMillis)

            !message.isPreVote && role is Role.Candidate && message.term == state.durable.term ->
                countVotes(start, role.votes.add(message.from), nowMillis)

            else -> start
        }
    }

    // Who hears no leader may have been replaced meanwhile, and not have heard of that either.
    private fun standForPreVote(start: Step, nowMillis: Long): Step {
        val asked = askAll(start, start.state.durable.term + 1, isPreVote = true)
        return countPreVotes(
            if (start.state.settings.isOpen) Formation.seek(asked) else asked,
            persistentSetOf(start.state.self),
            nowMillis,
        )
    }

    private fun countPreVotes(step: Step, votes: PersistentSet<Member>, nowMillis: Long): Step =
        if (step.state.isMajority(votes)) stand(step, nowMillis) else step.update { copy(role = Role.PreCandidate(votes)) }

    private fun stand(start: Step, nowMillis: Long): Step {
        val term = start.state.durable.term + 1
        val step = start.updateDurable { copy(term = term, votedFor = start.state.self) }
        return countVotes(askAll(step, term, isPreVote = false), persistentSetOf(start.state.self), nowMillis)
    }

    private fun countVotes(step: Step, votes: PersistentSet<Member>, nowMillis: Long): Step =
        if (step.state.isMajority(votes)) Leading.begin(step, nowMillis) else step.update { copy(role = Role.Candidate(votes)) }

    private fun askAll(start: Step, term: Long, isPreVote: Boolean): Step {
        val state = start.state
        val log = state.log
        return state.otherMembers.fold(start) { step, member ->
            step.send(member, PeerMessage.VoteRequest(state.self, term, log.lastIndex, log.lastTerm, isPreVote, to = member))
        }
    }

    private fun mayPreVote(state: ReplicationState, message: PeerMessage.VoteRequest, nowMillis: Long): Boolean {
        val heardMillis = (state.role as? Role.Follower)?.heardMillis
        val hearsLeader = state.role is Role.Leader || heardMillis != null && nowMillis - heardMillis < state.settings.electionMillis
        return !hearsLeader && message.term > state.durable.term && isUpToDate(state, message)
    }

    private fun mayVote(state: ReplicationState, message: PeerMessage.VoteRequest): Boolean {
        val isFree = state.durable.votedFor == null || state.durable.votedFor == message.from
        return message.term == state.durable.term && isFree && isUpToDate(state, message)
    }

    // A newcomer votes only for a candidate whose log has it as a member; that log shows that it had caught up.
    private fun isUpToDate(state: ReplicationState, message: PeerMessage.VoteRequest): Boolean {
        val log = state.log
        val isNewer = message.lastTerm > log.lastTerm || message.lastTerm == log.lastTerm && message.lastIndex >= log.lastIndex
        return isNewer && message.to == state.self && log.members.isNotEmpty()
    }

    private fun answer(step: Step, message: PeerMessage.VoteRequest, isGranted: Boolean): Step {
        val term = if (isGranted) message.term else step.state.durable.term
        return step.send(message.from, PeerMessage.VoteAnswer(step.state.self, term, message.isPreVote, isGranted))
    }
}
