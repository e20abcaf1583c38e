package org.buckthornhub.replication

/** What a follower does with the entries and snapshots of its leader. */
internal object Following {
    fun append(start: Step, message: PeerMessage.Append, nowMillis: Long): Step {
        if (message.term < start.state.durable.term) return answer(start, message.from, message.round, null, nowMillis)
        val step = heard(start, message.from, message.term, nowMillis)
        val log = step.state.log
        // What a snapshot stands for was committed, so it matches whatever the leader sent before it.
        val isMatched = message.previousIndex < log.snapshot.index || log.termAt(message.previousIndex) == message.previousTerm
        if (!isMatched) return answer(step, message.from, message.round, null, nowMillis)
        val merged = log.merge(message.entries)
        val matchIndex = message.previousIndex + message.entries.size
        val stored = if (merged === log) step else step.updateDurable { copy(log = merged) }
        val committed = Commitment.commitTo(stored, minOf(message.commitIndex, matchIndex))
        val fresh = if (committed.state.commitIndex >= message.commitIndex) freshened(committed, message.confirmedEcho) else committed
        return answer(fresh, message.from, message.round, matchIndex, nowMillis)
    }

    fun install(start: Step, message: PeerMessage.Install, nowMillis: Long): Step {
        if (message.term < start.state.durable.term) return answer(start, message.from, message.round, null, nowMillis)
        val step = heard(start, message.from, message.term, nowMillis)
        val snapshot = message.snapshot
        if (snapshot.index <= step.state.commitIndex) return answer(step, message.from, message.round, snapshot.index, nowMillis)
        val log = step.state.log
        val kept = if (log.termAt(snapshot.index) == snapshot.term) log.compact(snapshot) else ReplicatedLog(snapshot)
        val installed = step
            .updateDurable { copy(log = kept) }
            .update { copy(commitIndex = snapshot.index, machine = snapshot.machine) }
        return answer(installed, message.from, message.round, snapshot.index, nowMillis)
    }

    private fun heard(start: Step, leader: Member, term: Long, nowMillis: Long): Step =
        Election.restartTimer(Election.follow(start, term, leader, nowMillis), nowMillis)

    private fun freshened(step: Step, echo: Long?): Step {
        val known = step.state.freshMillis ?: step.state.awakeSinceMillis
        return if (echo == null || known >= echo) step else step.update { copy(freshMillis = echo) }
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
            )
        return step.send(leader, message)
    }
}
