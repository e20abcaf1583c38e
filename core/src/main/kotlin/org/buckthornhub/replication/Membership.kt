package org.buckthornhub.replication

/** Changes the members one at a time; a newcomer first catches up without a vote. */
internal object Membership {
    /** Notes a VM that is no member, and what it has to have before it may become one. */
    fun welcome(step: Step, newcomer: Member, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val isKnown = newcomer in step.state.log.members || newcomer in leader.followers
        val isWelcome = step.state.settings.isOpen || newcomer.vm in step.state.settings.vms
        if (isKnown || !isWelcome) return step
        val progress =
            Progress(nextIndex = step.state.log.lastIndex + 1, learnerTarget = step.state.commitIndex, heardMillis = nowMillis)
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
        val silent = silentMember(state, leader, nowMillis)
        if (silent != null &&
            state.log.members.size > state.settings.vms.size
        ) {
            return change(step, state.log.members - silent, silent, nowMillis)
        }
        val newcomer = leader.followers.entries
            .firstOrNull { (member, progress) -> isReady(state, member, progress) && isNeeded(state, member, silent) }
            ?.key ?: return step
        val lost = state.log.members.firstOrNull { it.vm == newcomer.vm }
        val members = if (lost != null) state.log.members - lost else state.log.members + newcomer
        return change(step, members, lost, nowMillis)
    }

    /** Forgets those that stood by and have gone silent. */
    fun dropSilentNewcomers(step: Step, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        if (!step.state.settings.isOpen) return step
        val silent = leader.followers.filter { (member, progress) ->
            member !in step.state.log.members && isSilent(step.state, leader, progress, nowMillis)
        }
        if (silent.isEmpty()) return step
        return step.updateLeader { copy(followers = silent.keys.fold(followers) { map, member -> map.remove(member) }) }
    }

    private fun change(step: Step, members: Set<Member>, dropped: Member?, nowMillis: Long): Step {
        val appended = Leading.append(step, EntryContent.Members(members))
        return Leading.broadcast(
            appended.updateLeader { copy(followers = if (dropped == null) followers else followers.remove(dropped)) },
            nowMillis,
        )
    }

    // In an open quorum a VM that stands by is needed only if a member is missing.
    private fun isNeeded(state: ReplicationState, newcomer: Member, silent: Member?): Boolean {
        val isReturning = state.log.members.any { it.vm == newcomer.vm }
        return !state.settings.isOpen || isReturning || silent != null || state.log.members.size < state.settings.vms.size
    }

    private fun silentMember(state: ReplicationState, leader: Role.Leader, nowMillis: Long): Member? {
        if (!state.settings.isOpen) return null
        return state.otherMembers.firstOrNull { member -> leader.followers[member]?.let { isSilent(state, leader, it, nowMillis) } ?: true }
    }

    private fun isSilent(state: ReplicationState, leader: Role.Leader, progress: Progress, nowMillis: Long): Boolean =
        nowMillis - maxOf(progress.heardMillis, leader.sinceMillis) > state.settings.silentMillis

    private fun isReady(state: ReplicationState, member: Member, progress: Progress): Boolean {
        val target = progress.learnerTarget ?: return false
        return member !in state.log.members && progress.matchIndex >= target
    }
}
