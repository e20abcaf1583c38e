package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Intermediate state within one decision, with the effects collected so far. */
internal data class Step(
    val state: ReplicationState,
    val effects: PersistentList<ReplicationEffect> = persistentListOf(),
) {
    fun send(to: Member, message: PeerMessage): Step = emit(ReplicationEffect.Send(to.vm, message))

    fun emit(effect: ReplicationEffect): Step = copy(effects = effects.add(effect))

    fun update(change: ReplicationState.() -> ReplicationState): Step = copy(state = state.change())

    fun updateDurable(change: DurableState.() -> DurableState): Step = update { copy(durable = durable.change()) }

    fun updateLeader(change: Role.Leader.() -> Role.Leader): Step {
        val leader = state.role as? Role.Leader ?: return this
        return update { copy(role = leader.change()) }
    }
}
