package org.buckthornhub.replication

/** Changes the members one at a time; a newcomer first catches up without a vote. */
internal object Membership {
    /** Notes a VM that is no member, and what it has to have before it may become one. */
    fun welcome(step: Step, newcomer: Member): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val isKnown = newcomer in step.state.log.members || newcomer in leader.followers
        if (isKnown || newcomer.vm !in step.state.settings.vms) return step
        val progress = Progress(nextIndex = step.state.log.lastIndex + 1, learnerTarget = step.state.commitIndex)
        // An older disk of the same VM that has not become a member will not come back.
        val stale = leader.followers.keys.filter { it.vm == newcomer.vm && it !in step.state.log.members }
        return step.updateLeader { copy(followers = stale.fold(followers) { map, member -> map.remove(member) }.put(newcomer, progress)) }
    }

    /** Takes the next step towards the members that the newcomers call for, if the last one is committed. */
    fun review(step: Step, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val state = step.state
        val isSettled = state.commitIndex >= leader.firstIndex && state.commitIndex >= state.log.membersIndex
        if (!isSettled) return step
        val newcomer = leader.followers.entries.firstOrNull { (member, progress) -> isReady(state, member, progress) }?.key ?: return step
        val lost = state.log.members.firstOrNull { it.vm == newcomer.vm }
        val members = if (lost != null) state.log.members - lost else state.log.members + newcomer
        val appended = Leading.append(step, EntryContent.Members(members))
        return Leading.broadcast(
            appended.updateLeader {
                copy(
                    followers = if (lost ==
                        null
                    ) {
                        followers
                    } else {
                        followers.remove(lost)
                    },
                )
            },
            nowMillis,
        )
    }

    private fun isReady(state: ReplicationState, member: Member, progress: Progress): Boolean {
        val target = progress.learnerTarget ?: return false
        return member !in state.log.members && progress.matchIndex >= target
    }
}
