package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentMapOf

/** How a VM that is in no quorum finds one, or forms the first one, and how one that was replaced finds out. */
internal object Formation {
    private const val HELLO_HEARTBEATS = 5

    fun tick(start: Step, nowMillis: Long): Step {
        if (nowMillis < start.state.helloAtMillis) return start
        val round = start.state.helloRound + 1
        val next = nowMillis + start.state.settings.heartbeatMillis * HELLO_HEARTBEATS
        return formIfAllBlank(seek(start.update { copy(helloRound = round, helloAtMillis = next, blankVms = persistentMapOf()) }))
    }

    /** Asks everybody known for the quorum; its leader sends the log to whoever asks and is no member. */
    fun seek(step: Step): Step {
        val state = step.state
        val others = state.introducers + state.log.members.map { it.vm } - state.self.vm
        return others.fold(step) { s, vm -> s.emit(ReplicationEffect.Send(vm, PeerMessage.Hello(state.self, state.helloRound))) }
    }

    fun hello(start: Step, message: PeerMessage.Hello, nowMillis: Long): Step {
        val state = start.state
        val answer = PeerMessage.HelloAnswer(state.self, asker = message.from, round = message.round, members = state.log.members)
        return Membership.welcome(start, message.from, nowMillis).send(message.from, answer)
    }

    fun helloAnswer(start: Step, message: PeerMessage.HelloAnswer): Step {
        val state = start.state
        if (message.asker != state.self || message.round != state.helloRound) return start
        val isBlank = state.log.members.isEmpty()
        if (isBlank && state.self in message.members) return adopt(start, message.members)
        if (message.members.isNotEmpty()) return start.update { copy(introducers = introducers.addAll(message.members.map { it.vm })) }
        if (!isBlank) return start
        if (message.from.vm !in state.settings.vms) return start
        return formIfAllBlank(start.update { copy(blankVms = blankVms.put(message.from.vm, message.from)) })
    }

    // Only when no VM at all remembers a quorum is there surely none to lose.
    private fun formIfAllBlank(step: Step): Step {
        val state = step.state
        val isBlank = state.log.members.isEmpty() && state.log.lastIndex == 0L
        val isFounder = state.settings.mayForm && state.self.vm in state.settings.vms
        if (!isBlank || !isFounder || state.blankVms.keys != state.settings.vms - state.self.vm) return step
        return adopt(step, state.blankVms.values.toSet() + state.self)
    }

    private fun adopt(step: Step, members: Set<Member>): Step =
        step.updateDurable { copy(log = ReplicatedLog(Snapshot(members = members))) }
}
