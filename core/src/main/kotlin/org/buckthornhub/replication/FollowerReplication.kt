package org.buckthornhub.replication

/** Handles the entries and snapshots that a follower receives from its leader. */
internal object FollowerReplication {
    /** Sent to a leader of an older term, whose rounds mean nothing if its VM leads again in the term of the answer. */
    private const val NO_ROUND = 0L

    fun onAppend(start: Step, message: PeerMessage.Append, nowMillis: Long): Step {
        if (message.term < start.state.durable.term) return answer(start, message.from, NO_ROUND, null, nowMillis)
        val step = acceptLeader(start, message.from, message.term, nowMillis)
        val log = step.state.log
        // Entries covered by the snapshot are committed, so they match the log of any leader.
        val isMatched = message.previousIndex < log.snapshot.index || log.termAt(message.previousIndex) == message.previousTerm
        if (!isMatched) return answer(step, message.from, message.round, null, nowMillis)
        val merged = log.merge(message.entries)
        val matchIndex = message.previousIndex + message.entries.size
        val stored = if (merged === log) step else step.updateDurable { copy(log = merged) }
        val committed = LogCommitter.commitTo(stored, minOf(message.commitIndex, matchIndex))
        val fresh = if (committed.state.commitIndex >= message.commitIndex) refresh(committed, message, nowMillis) else committed
        return answer(fresh, message.from, message.round, matchIndex, nowMillis)
    }

    fun onInstall(start: Step, message: PeerMessage.Install, nowMillis: Long): Step {
        if (message.term < start.state.durable.term) return answer(start, message.from, NO_ROUND, null, nowMillis)
        val step = acceptLeader(start, message.from, message.term, nowMillis)
        val snapshot = message.snapshot
        if (snapshot.index <= step.state.commitIndex) return answer(step, message.from, message.round, snapshot.index, nowMillis)
        val log = step.state.log
        val kept = if (log.termAt(snapshot.index) == snapshot.term) log.compact(snapshot) else ReplicatedLog(snapshot)
        val installed = step
            .updateDurable { copy(log = kept) }
            .update { copy(commitIndex = snapshot.index, machine = snapshot.machine) }
        return answer(installed, message.from, message.round, snapshot.index, nowMillis)
    }

    private fun acceptLeader(start: Step, leader: Member, term: Long, nowMillis: Long): Step =
        Election.restartTimer(Election.follow(start, term, leader, nowMillis), nowMillis)

    private fun refresh(step: Step, message: PeerMessage.Append, nowMillis: Long): Step {
        val echo = message.confirmedEcho?.takeIf { message.confirmedRun == step.state.run } ?: return step
        val known = step.state.freshMillis ?: step.state.resumedAtMillis
        return if (echo in known + 1..nowMillis) step.update { copy(freshMillis = echo) } else step
    }

    private fun answer(step: Step, leader: Member, round: Long, matchIndex: Long?, nowMillis: Long): Step {
        val state = step.state
        val message =
            PeerMessage.AppendAnswer(
                from = state.self,
                term = state.durable.term,
                round = round,
                isMatched = matchIndex != null,
                index = matchIndex ?: minOf(state.log.lastIndex, state.commitIndex),
                echo = nowMillis,
                run = state.run,
                zone = state.settings.zone,
            )
        return step.send(leader, message)
    }
}
