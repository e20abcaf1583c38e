package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.random.Random

/** Leader election with a pre-vote phase, so that a member returning from a partition does not disrupt a working leader. */
internal object Election {
    fun tick(start: Step, nowMillis: Long): Step {
        val deadline = start.state.electionDeadlineMillis ?: return restartTimer(start, nowMillis)
        return if (nowMillis < deadline) start else startPreVote(restartTimer(start, nowMillis), nowMillis)
    }

    fun restartTimer(step: Step, nowMillis: Long): Step {
        val random = Random(step.state.seed)
        val wait = step.state.settings.electionMillis.let { random.nextLong(it, it * 2) }
        return step.update { copy(seed = random.nextLong(), electionDeadlineMillis = nowMillis + wait) }
    }

    /** Becomes a follower of [leader] in [term]. The vote is reset only if the term is new. */
    fun follow(start: Step, term: Long, leader: Member?, nowMillis: Long): Step {
        val state = start.state
        val lastContact = nowMillis.takeIf { leader != null } ?: (state.role as? Role.Follower)?.lastContactMillis
        val step = Proposals.failPending(start).update { copy(role = Role.Follower(leader, lastContact)) }
        return if (term == state.durable.term) step else step.updateDurable { copy(term = term, votedFor = null) }
    }

    fun onVoteRequest(start: Step, message: PeerMessage.VoteRequest, nowMillis: Long): Step {
        if (message.isPreVote) return answer(start, message, grantsPreVote(start.state, message, nowMillis))
        val step = if (message.term > start.state.durable.term) follow(start, message.term, leader = null, nowMillis) else start
        if (!grantsVote(step.state, message)) return answer(step, message, isGranted = false)
        val voted = step.updateDurable { copy(votedFor = message.from) }
        return answer(restartTimer(voted, nowMillis), message, isGranted = true)
    }

    fun onVoteAnswer(start: Step, message: PeerMessage.VoteAnswer, nowMillis: Long): Step {
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

    // A member without contact to a leader may have been removed from the quorum without learning of it,
    // so with standby VMs it also looks for the current members.
    private fun startPreVote(start: Step, nowMillis: Long): Step {
        val requested = requestVotes(start, start.state.durable.term + 1, isPreVote = true)
        return countPreVotes(
            if (start.state.settings.allowsStandby) QuorumBootstrap.discover(requested) else requested,
            persistentSetOf(start.state.self),
            nowMillis,
        )
    }

    private fun countPreVotes(step: Step, votes: PersistentSet<Member>, nowMillis: Long): Step =
        if (step.state.isMajority(votes)) startElection(step, nowMillis) else step.update { copy(role = Role.PreCandidate(votes)) }

    private fun startElection(start: Step, nowMillis: Long): Step {
        val term = start.state.durable.term + 1
        val step = start.updateDurable { copy(term = term, votedFor = start.state.self) }
        return countVotes(requestVotes(step, term, isPreVote = false), persistentSetOf(start.state.self), nowMillis)
    }

    private fun countVotes(step: Step, votes: PersistentSet<Member>, nowMillis: Long): Step =
        if (step.state.isMajority(votes)) LeaderReplication.begin(step, nowMillis) else step.update { copy(role = Role.Candidate(votes)) }

    private fun requestVotes(start: Step, term: Long, isPreVote: Boolean): Step {
        val state = start.state
        val log = state.log
        return state.otherMembers.fold(start) { step, member ->
            step.send(member, PeerMessage.VoteRequest(state.self, term, log.lastIndex, log.lastTerm, isPreVote, to = member))
        }
    }

    private fun grantsPreVote(state: ReplicationState, message: PeerMessage.VoteRequest, nowMillis: Long): Boolean {
        val lastContactMillis = (state.role as? Role.Follower)?.lastContactMillis
        val hasLeaderContact =
            state.role is Role.Leader || lastContactMillis != null && nowMillis - lastContactMillis < state.settings.electionMillis
        return !hasLeaderContact && message.term > state.durable.term && isUpToDate(state, message)
    }

    private fun grantsVote(state: ReplicationState, message: PeerMessage.VoteRequest): Boolean {
        val isVoteAvailable = state.durable.votedFor == null || state.durable.votedFor == message.from
        return message.term == state.durable.term && isVoteAvailable && isUpToDate(state, message)
    }

    // A candidate requests votes from the members in its log. A learner therefore votes only for a candidate whose log lists it
    // as a member, which implies that it had caught up.
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
