package org.buckthornhub.replication

import kotlinx.collections.immutable.persistentMapOf

/**
 * Discovery and bootstrap of the quorum: a VM that is not a member looks for an existing quorum, or forms the first one with
 * the other configured VMs. A member that was replaced learns of it in the same way.
 */
internal object QuorumBootstrap {
    private const val DISCOVERY_INTERVAL_HEARTBEATS = 5

    fun tick(start: Step, nowMillis: Long): Step {
        if (nowMillis < start.state.nextHelloMillis) return start
        val round = start.state.helloRound + 1
        val next = nowMillis + start.state.settings.heartbeatMillis * DISCOVERY_INTERVAL_HEARTBEATS
        return tryBootstrap(
            discover(
                start.update {
                    copy(helloRound = round, nextHelloMillis = next, uninitialisedVms = persistentMapOf())
                },
            ),
        )
    }

    /** Sends a hello to every known VM. The leader of the quorum adds a sender that is not a member as a learner, if it may join. */
    fun discover(step: Step): Step {
        val state = step.state
        val others = state.introducers + state.log.members.map { it.vm } - state.self.vm
        return others.fold(step) { s, vm -> s.emit(ReplicationEffect.Send(vm, PeerMessage.Hello(state.self, state.helloRound))) }
    }

    fun onHello(start: Step, message: PeerMessage.Hello, nowMillis: Long): Step {
        val state = start.state
        val answer = PeerMessage.HelloAnswer(state.self, asker = message.from, round = message.round, members = state.log.members)
        return Membership.addLearner(start, message.from, nowMillis).send(message.from, answer)
    }

    fun onHelloAnswer(start: Step, message: PeerMessage.HelloAnswer): Step {
        val state = start.state
        if (message.asker != state.self || message.round != state.helloRound) return start
        val isUninitialised = state.log.members.isEmpty()
        if (isUninitialised && state.self in message.members) return adoptMembers(start, message.members)
        if (message.members.isNotEmpty()) return start.update { copy(introducers = introducers.addAll(message.members.map { it.vm })) }
        if (!isUninitialised) return start
        if (message.from.vm !in state.settings.vms) return start
        return tryBootstrap(start.update { copy(uninitialisedVms = uninitialisedVms.put(message.from.vm, message.from)) })
    }

    // Forms a quorum only if all configured VMs report that they know of none: otherwise an existing quorum could be lost.
    private fun tryBootstrap(step: Step): Step {
        val state = step.state
        val isUninitialised = state.log.members.isEmpty() && state.log.lastIndex == 0L
        val isBootstrapVm = state.settings.mayBootstrap && state.self.vm in state.settings.vms
        if (!isUninitialised || !isBootstrapVm || state.uninitialisedVms.keys != state.settings.vms - state.self.vm) return step
        return adoptMembers(step, state.uninitialisedVms.values.toSet() + state.self)
    }

    private fun adoptMembers(step: Step, members: Set<Member>): Step =
        step.updateDurable { copy(log = ReplicatedLog(Snapshot(members = members))) }
}
