package org.buckthornhub.replication

import kotlinx.collections.immutable.toPersistentMap

/** What a leader does: broadcasts, progress of its followers, and commits. */
internal object Leading {
    private const val SILENT_ELECTIONS = 2

    fun begin(start: Step, nowMillis: Long): Step {
        val state = start.state
        val next = state.log.lastIndex + 1
        val followers = state.otherMembers.associateWith { Progress(nextIndex = next) }.toPersistentMap()
        val leader = Role.Leader(firstIndex = next, sinceMillis = nowMillis, followers = followers, confirmedMillis = nowMillis)
        val step = start.update { copy(role = leader, electionAtMillis = null) }
        return broadcast(append(step, EntryContent.Members(state.log.members)), nowMillis)
    }

    fun tick(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val silentMillis = nowMillis - leader.confirmedMillis
        if (silentMillis > start.state.settings.electionMillis * SILENT_ELECTIONS) {
            return Election.restartTimer(Election.follow(start, start.state.durable.term, leader = null, nowMillis), nowMillis)
        }
        return if (nowMillis >=
            leader.nextHeartbeatMillis
        ) {
            broadcast(Membership.dropSilentNewcomers(start, nowMillis), nowMillis)
        } else {
            start
        }
    }

    fun append(step: Step, content: EntryContent): Step = step.updateDurable { copy(log = log.append(term, content)) }

    /** Sends each follower what it lacks, and counts as a new round of confirmation. */
    fun broadcast(start: Step, nowMillis: Long): Step {
        val step = start.updateLeader {
            copy(
                round = round + 1,
                sentMillis = sentMillis.put(round + 1, nowMillis),
                nextHeartbeatMillis = nowMillis + start.state.settings.heartbeatMillis,
            )
        }
        val leader = step.state.role as? Role.Leader ?: return step
        return Commitment.advance(leader.followers.keys.fold(step) { s, member -> sendTo(s, member) }, nowMillis)
    }

    fun sendTo(step: Step, member: Member): Step {
        val state = step.state
        val leader = state.role as? Role.Leader ?: return step
        val progress = leader.followers[member] ?: return step
        val log = state.log
        val previous = progress.nextIndex - 1
        val previousTerm = log.termAt(previous)
        if (previousTerm == null) {
            return step.send(member, PeerMessage.Install(state.self, state.durable.term, leader.round, log.snapshot))
        }
        val entries = log.entriesFrom(progress.nextIndex, state.settings.batchLimit)
        val message =
            PeerMessage.Append(
                from = state.self,
                term = state.durable.term,
                round = leader.round,
                previousIndex = previous,
                previousTerm = previousTerm,
                entries = entries,
                commitIndex = state.commitIndex,
                confirmedEcho = progress.confirmedEcho,
            )
        return step.send(member, message)
    }

    fun appendAnswer(start: Step, message: PeerMessage.AppendAnswer, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val progress = leader.followers[message.from] ?: return start
        val next = progressed(progress, message, leader.round).copy(heardMillis = nowMillis)
        val step = start.updateLeader { copy(followers = followers.put(message.from, next)) }
        val committed = Membership.review(announceCommit(Commitment.advance(step, nowMillis), nowMillis, start), nowMillis)
        val hasMore = next.nextIndex <= start.state.log.lastIndex && next.nextIndex != progress.nextIndex
        return if (hasMore) sendTo(committed, message.from) else committed
    }

    // Followers feed daemons, so they learn of a commit at once and not with the next heartbeat.
    private fun announceCommit(step: Step, nowMillis: Long, before: Step): Step =
        if (step.state.commitIndex > before.state.commitIndex) broadcast(step, nowMillis) else step

    private fun progressed(progress: Progress, message: PeerMessage.AppendAnswer, round: Long): Progress {
        val isNewer = progress.echo == null || message.echo > progress.echo
        val isPending = progress.confirmedEcho != progress.echo
        val heard = progress.copy(
            ackedRound = maxOf(progress.ackedRound, message.round),
            echo = if (isNewer && !isPending) message.echo else progress.echo,
            echoRound = if (isNewer && !isPending) round + 1 else progress.echoRound,
        )
        if (!message.isMatched) {
            return heard.copy(
                nextIndex = maxOf(progress.matchIndex + 1, minOf(progress.nextIndex - 1, message.index + 1)),
            )
        }
        val match = maxOf(progress.matchIndex, message.index)
        return heard.copy(matchIndex = match, nextIndex = maxOf(match + 1, progress.matchIndex + 1))
    }
}
