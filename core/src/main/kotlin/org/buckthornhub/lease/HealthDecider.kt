package org.buckthornhub.lease

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/** Probes the targets that this daemon owns, and records when each last answered. */
public class HealthDecider : Decider<HealthState, HealthMessage, HealthEffect> {
    override fun decide(state: HealthState, message: HealthMessage, nowMillis: Long): Decision<HealthState, HealthEffect> = when (message) {
        is HealthMessage.Probe -> probe(state, message, nowMillis)
        is HealthMessage.Answered -> Decision(recordAnswer(state, message, nowMillis))
    }

    // A target that this daemon has just come to own has the full detection time to answer.
    private fun probe(state: HealthState, message: HealthMessage.Probe, nowMillis: Long): Decision<HealthState, HealthEffect> {
        val next =
            HealthState(
                targets = message.owned.associate {
                    it.target to (state.targets[it.target] ?: it).copy(address = it.address)
                }.toPersistentMap(),
                lastAnswerMillis = message.owned.associate {
                    it.target to (state.lastAnswerMillis[it.target] ?: nowMillis)
                }.toPersistentMap(),
            )
        return Decision(next, next.targets.values.map { HealthEffect.Ask(it) }.toPersistentList())
    }

    private fun recordAnswer(state: HealthState, message: HealthMessage.Answered, nowMillis: Long): HealthState {
        val target = message.entry.target
        if (target !in state.targets) return state
        return HealthState(state.targets.put(target, message.entry), state.lastAnswerMillis.put(target, nowMillis))
    }
}
