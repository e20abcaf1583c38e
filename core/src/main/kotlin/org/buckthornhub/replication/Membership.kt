package org.buckthornhub.replication

/** Changes the members of the quorum one at a time. A new member first catches up as a learner, without a vote. */
internal object Membership {
    /** Adds [learner], a VM that is not a member, and sets the commit index that it must reach before it may become one. */
    fun addLearner(step: Step, learner: Member, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val isKnown = learner in step.state.log.members || learner in leader.followers
        val isAdmissible = step.state.settings.allowsStandby || learner.vm in step.state.settings.vms
        if (isKnown || !isAdmissible) return step
        val progress =
            Progress(nextIndex = step.state.log.lastIndex + 1, catchUpIndex = step.state.commitIndex, lastContactMillis = nowMillis)
        // An earlier disk of the same VM that never became a member is lost, so its learner is removed.
        val stale = leader.followers.keys.filter { it.vm == learner.vm && it !in step.state.log.members }
        return step.updateLeader { copy(followers = stale.fold(followers) { map, member -> map.remove(member) }.put(learner, progress)) }
    }

    /** Appends the next membership change, if one is needed and the previous one is committed. */
    fun reconfigure(step: Step, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        val state = step.state
        val isPreviousChangeCommitted = state.commitIndex >= leader.firstIndex && state.commitIndex >= state.log.membersIndex
        if (!isPreviousChangeCommitted) return step
        val spread = ZoneSpread.of(state, leader)
        val silent = silentMember(state, leader, nowMillis)
        val surplus = silent ?: crowdedMember(state, spread)
        if (surplus != null && state.log.members.size > state.settings.size) {
            return remove(step, surplus, isLost = surplus == silent, nowMillis)
        }
        val learner = leader.followers
            .filter { (member, progress) -> isCaughtUp(state, member, progress) }.keys
            .filter { isNeeded(state, it, silent) || surplus != null && spread.isAloneInZone(it, state.log.members) }
            .minByOrNull { spread.crowding(it, state.log.members - setOfNotNull(silent)) } ?: return step
        val replaced = state.log.members.firstOrNull { it.vm == learner.vm }
        val members = if (replaced != null) state.log.members - replaced else state.log.members + learner
        return change(step, members, replaced, nowMillis)
    }

    private fun crowdedMember(state: ReplicationState, spread: ZoneSpread): Member? =
        if (state.settings.allowsStandby) spread.surplus(state.log.members, kept = state.self) else null

    // A member that still answers stands by from now on.
    private fun remove(step: Step, member: Member, isLost: Boolean, nowMillis: Long): Step {
        val members = step.state.log.members - member
        if (isLost) return change(step, members, dropped = member, nowMillis)
        val standby = step.updateLeader {
            copy(followers = followers[member]?.let { followers.put(member, it.copy(catchUpIndex = step.state.commitIndex)) } ?: followers)
        }
        return change(standby, members, dropped = null, nowMillis)
    }

    /** Removes standby learners that have not answered for [ReplicationSettings.silentMillis]. */
    fun dropSilentLearners(step: Step, nowMillis: Long): Step {
        val leader = step.state.role as? Role.Leader ?: return step
        if (!step.state.settings.allowsStandby) return step
        val silent = leader.followers.filter { (member, progress) ->
            member !in step.state.log.members && isSilent(step.state, leader, progress, nowMillis)
        }
        if (silent.isEmpty()) return step
        return step.updateLeader { copy(followers = silent.keys.fold(followers) { map, member -> map.remove(member) }) }
    }

    private fun change(step: Step, members: Set<Member>, dropped: Member?, nowMillis: Long): Step {
        val appended = LeaderReplication.append(step, EntryContent.Members(members))
        return LeaderReplication.broadcast(
            appended.updateLeader { copy(followers = if (dropped == null) followers else followers.remove(dropped)) },
            nowMillis,
        )
    }

    // Where standby VMs are allowed, one is promoted only if a member is missing or its VM returns with another disk.
    private fun isNeeded(state: ReplicationState, learner: Member, silent: Member?): Boolean {
        val isReturning = state.log.members.any { it.vm == learner.vm }
        return !state.settings.allowsStandby || isReturning || silent != null || state.log.members.size < state.settings.size
    }

    private fun silentMember(state: ReplicationState, leader: Role.Leader, nowMillis: Long): Member? {
        if (!state.settings.allowsStandby) return null
        return state.otherMembers.firstOrNull { member -> leader.followers[member]?.let { isSilent(state, leader, it, nowMillis) } ?: true }
    }

    private fun isSilent(state: ReplicationState, leader: Role.Leader, progress: Progress, nowMillis: Long): Boolean =
        nowMillis - maxOf(progress.lastContactMillis, leader.sinceMillis) > state.settings.silentMillis

    private fun isCaughtUp(state: ReplicationState, member: Member, progress: Progress): Boolean {
        val catchUpIndex = progress.catchUpIndex ?: return false
        return member !in state.log.members && progress.matchIndex >= catchUpIndex
    }
}
