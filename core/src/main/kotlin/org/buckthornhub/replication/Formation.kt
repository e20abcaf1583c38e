package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentMapOf

/** How a VM that is in no quorum finds one, or forms the first one. */
internal object Formation {
    private const val HELLO_HEARTBEATS = 5

    fun tick(start: Step, nowMillis: Long): Step {
        if (nowMillis < start.state.helloAtMillis) return start
        val round = start.state.helloRound + 1
        val next = nowMillis + start.state.settings.heartbeatMillis * HELLO_HEARTBEATS
        val step = start.update { copy(helloRound = round, helloAtMillis = next, blankVms = persistentMapOf()) }
        val others = step.state.introducers + step.state.log.members.map { it.vm } - step.state.self.vm
        return formIfAllBlank(others.fold(step) { s, vm -> s.emit(ReplicationEffect.Send(vm, PeerMessage.Hello(s.state.self, round))) })
    }

    fun hello(start: Step, message: PeerMessage.Hello, nowMillis: Long): Step {
        val state = start.state
        val answer = PeerMessage.HelloAnswer(state.self, asker = message.from, round = message.round, members = state.log.members)
        return Membership.welcome(start, message.from, nowMillis).send(message.from, answer)
    }

    fun helloAnswer(start: Step, message: PeerMessage.HelloAnswer): Step {
        val state = start.state
        if (state.log.members.isNotEmpty() || message.asker != state.self || message.round != state.helloRound) return start
        if (state.self in message.members) return adopt(start, message.members)
        if (message.members.isNotEmpty()) return start.update { copy(introducers = introducers.addAll(message.members.map { it.vm })) }
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
