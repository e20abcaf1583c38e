package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.target.TargetRole

/** Decision logic of one instance of a database group. */
public class InstanceDecider : Decider<InstanceState, InstanceMessage, InstanceEffect> {
    private val connections = ConnectionRules()
    private val statements = StatementRules()
    private val replication = ReplicationRules()
    private val faults = FaultRules()

    override fun decide(state: InstanceState, message: InstanceMessage, nowMillis: Long): Decision<InstanceState, InstanceEffect> {
        // A killed process handles no messages; requests still in its mailbox are not answered.
        if (state.faults.killed && message !is InstanceMessage.Inject) return Decision(state)
        val decision = dispatch(state, message, nowMillis)
        return decision.copy(effects = decision.effects.mapNotNull { afterCutOff(state, it) }.toPersistentList())
    }

    private fun dispatch(state: InstanceState, message: InstanceMessage, nowMillis: Long): InstanceDecision = when (message) {
        is InstanceMessage.Connect -> connections.connect(state, message, nowMillis)
        is InstanceMessage.Disconnect -> Decision(disconnected(state, message.connection))
        is InstanceMessage.Touch -> connections.touch(state, message, nowMillis)
        is InstanceMessage.Execute -> statements.execute(state, message, nowMillis)
        is InstanceMessage.Replicate -> replication.receive(state, message, nowMillis)
        is InstanceMessage.RequestLog -> replication.logFor(state, message)
        is InstanceMessage.CatchUp -> replication.catchUp(state, message, nowMillis)
        is InstanceMessage.Promote -> replication.promote(state, message)
        is InstanceMessage.Follow -> replication.follow(state, message)
        is InstanceMessage.Inject -> inject(state, message)
        is InstanceMessage.Tick -> replication.advance(connections.closeIdle(state, nowMillis), nowMillis)
        is InstanceMessage.Heartbeat -> heartbeat(state)
    }

    // A network cut drops outgoing as well as incoming messages.
    private fun afterCutOff(state: InstanceState, effect: InstanceEffect): InstanceEffect? {
        val cutOff = state.faults.cutOff
        if (effect !is InstanceEffect.Send || cutOff == null) return effect
        return cutOff.servedZone?.let { effect.copy(onlyZone = it) }
    }

    private fun disconnected(state: InstanceState, connection: String) = state.copy(connections = state.connections.remove(connection))

    private fun inject(state: InstanceState, message: InstanceMessage.Inject): InstanceDecision {
        val decision = faults.inject(state, message.fault)
        return decision.copy(effects = decision.effects.add(InstanceEffect.Answer(message.reply, Ok(Unit))))
    }

    private fun heartbeat(state: InstanceState): InstanceDecision {
        if (state.role != TargetRole.PRIMARY) return Decision(state)
        return Decision(state, persistentListOf(InstanceEffect.Send(to = null, state.entriesMessage(persistentListOf()))))
    }
}
