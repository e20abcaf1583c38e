package org.buckthornhub.replication

import kotlinx.collections.immutable.toPersistentMap

/** Log replication by the leader: broadcasts, follower progress and commit announcements. */
internal object LeaderReplication {
    private const val STEP_DOWN_ELECTION_TIMEOUTS = 2

    /** Size from which a message is not repeated while it may still be on its way, in characters. */
    private const val LARGE_CHARS = 100_000L

    /** Time that a large message may take: at least, and for its size, as a member reads and syncs it. */
    private const val MIN_TRANSFER_MILLIS = 400L
    private const val TRANSFER_CHARS_PER_MILLISECOND = 2_000L

    fun begin(start: Step, nowMillis: Long): Step {
        val state = start.state
        val next = state.log.lastIndex + 1
        val followers = state.otherMembers.associateWith { Progress(nextIndex = next) }.toPersistentMap()
        val leader = Role.Leader(firstIndex = next, sinceMillis = nowMillis, followers = followers, confirmedMillis = nowMillis)
        val step = start.update { copy(role = leader, electionDeadlineMillis = null) }
        return broadcast(append(step, EntryContent.Members(state.log.members)), nowMillis)
    }

    fun tick(start: Step, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val sinceConfirmedMillis = nowMillis - leader.confirmedMillis
        if (sinceConfirmedMillis > start.state.settings.electionMillis * STEP_DOWN_ELECTION_TIMEOUTS) {
            return Election.restartTimer(Election.follow(start, start.state.durable.term, leader = null, nowMillis), nowMillis)
        }
        return if (nowMillis >=
            leader.nextHeartbeatMillis
        ) {
            broadcast(Membership.dropSilentLearners(start, nowMillis), nowMillis)
        } else {
            start
        }
    }

    fun append(step: Step, content: EntryContent): Step = step.updateDurable { copy(log = log.append(term, content)) }

    /** Sends each follower the entries that it lacks, and starts a new confirmation round. */
    fun broadcast(start: Step, nowMillis: Long): Step {
        val step = start.updateLeader {
            copy(
                round = round + 1,
                roundSentMillis = roundSentMillis.put(round + 1, nowMillis),
                nextHeartbeatMillis = nowMillis + start.state.settings.heartbeatMillis,
            )
        }
        val leader = step.state.role as? Role.Leader ?: return step
        return LogCommitter.advance(leader.followers.keys.fold(step) { s, member -> sendTo(s, member, nowMillis) })
    }

    fun sendTo(step: Step, member: Member, nowMillis: Long): Step {
        val state = step.state
        val leader = state.role as? Role.Leader ?: return step
        val progress = leader.followers[member] ?: return step
        val log = state.log
        val previous = progress.nextIndex - 1
        val previousTerm = log.termAt(previous)
        val isOnItsWay = progress.sentIndex >= progress.nextIndex && nowMillis < progress.sentUntilMillis
        if (previousTerm == null) {
            if (isOnItsWay) return step
            val install = PeerMessage.Install(state.self, state.durable.term, leader.round, log.snapshot)
            return noteSent(step.send(member, install), member, log.snapshot.index, install.chars, nowMillis)
        }
        val entries =
            if (isOnItsWay) emptyList() else log.entriesFrom(progress.nextIndex, state.settings.batchLimit, state.settings.batchChars)
        val message =
            PeerMessage.Append(
                from = state.self,
                term = state.durable.term,
                round = leader.round,
                previousIndex = previous,
                previousTerm = previousTerm,
                entries = entries,
                commitIndex = state.commitIndex,
                confirmedEcho = progress.confirmedEcho?.millis,
                confirmedRun = progress.confirmedEcho?.run,
            )
        return noteSent(step.send(member, message), member, previous + entries.size, message.chars, nowMillis)
    }

    // Sent again with each heartbeat, a large message would take the memory and the time of both members several times over.
    private fun noteSent(step: Step, member: Member, lastIndex: Long, chars: Long, nowMillis: Long): Step {
        if (chars < LARGE_CHARS) return step
        val untilMillis = nowMillis + MIN_TRANSFER_MILLIS + chars / TRANSFER_CHARS_PER_MILLISECOND
        return step.updateLeader {
            val progress = followers[member] ?: return@updateLeader this
            copy(followers = followers.put(member, progress.copy(sentIndex = lastIndex, sentUntilMillis = untilMillis)))
        }
    }

    fun onAppendAnswer(start: Step, message: PeerMessage.AppendAnswer, nowMillis: Long): Step {
        val leader = start.state.role as? Role.Leader ?: return start
        val progress = leader.followers[message.from] ?: return start
        val next = updateProgress(progress, message, leader.round).copy(lastContactMillis = nowMillis, zone = message.zone)
        val step = start.updateLeader { copy(followers = followers.put(message.from, next)) }
        val committed = Membership.reconfigure(announceCommit(LogCommitter.advance(step), nowMillis, start), nowMillis)
        val hasMore = next.nextIndex <= start.state.log.lastIndex && next.nextIndex != progress.nextIndex
        return if (hasMore) sendTo(committed, message.from, nowMillis) else committed
    }

    // Followers serve the control feed of daemons, so a new commit index is broadcast immediately, not with the next heartbeat.
    private fun announceCommit(step: Step, nowMillis: Long, before: Step): Step =
        if (step.state.commitIndex > before.state.commitIndex) broadcast(step, nowMillis) else step

    private fun updateProgress(progress: Progress, message: PeerMessage.AppendAnswer, round: Long): Progress {
        // A member of an older version may return a round of an earlier leadership.
        val acked = message.round.takeIf { it <= round } ?: 0
        val updated = withEcho(progress, message, round).copy(ackedRound = maxOf(progress.ackedRound, acked))
        if (!message.isMatched) {
            return updated.copy(
                nextIndex = maxOf(progress.matchIndex + 1, minOf(progress.nextIndex - 1, message.index + 1)),
                sentIndex = 0,
            )
        }
        val match = maxOf(progress.matchIndex, message.index)
        return updated.copy(matchIndex = match, nextIndex = maxOf(match + 1, progress.matchIndex + 1))
    }

    // The clock of a follower may start anew with its run, so echoes of two runs are not compared: the one that arrived last counts.
    private fun withEcho(progress: Progress, message: PeerMessage.AppendAnswer, round: Long): Progress {
        val received = Echo(message.run ?: return progress, message.echo)
        val known = progress.echo
        return when {
            received.run != known?.run -> progress.copy(echo = received, echoRound = round + 1, confirmedEcho = null)
            progress.confirmedEcho == known && received.millis > known.millis -> progress.copy(echo = received, echoRound = round + 1)
            else -> progress
        }
    }
}
