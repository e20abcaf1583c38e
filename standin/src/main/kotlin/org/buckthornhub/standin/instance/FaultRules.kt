package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.standin.fault.Fault
import org.buckthornhub.standin.fault.Faults
import org.buckthornhub.target.TargetRole

/** Applies injected faults to the state of an instance. */
internal class FaultRules {
    fun inject(state: InstanceState, fault: Fault): InstanceDecision = when (fault) {
        is Fault.CutOff -> state.withFaults { copy(cutOff = fault) }
        is Fault.Silent -> state.withFaults { copy(silent = fault) }
        is Fault.SilentConnections -> state.withFaults { copy(silentConnectionsBelow = state.nextConnection) }
        is Fault.Slow -> state.withFaults { copy(statementMillis = fault.statementMillis) }
        is Fault.LateAnswers -> state.withFaults { copy(answerMillis = fault.answerMillis) }
        is Fault.CrossedAnswers -> state.withFaults { copy(crossed = true) }
        is Fault.Lag -> Decision(state.copy(receiveLagMillis = fault.receiveMillis, applyLagMillis = fault.applyMillis))
        is Fault.Leaving -> state.withFaults { copy(leaving = true) }
        is Fault.Killed -> killed(state)
        is Fault.Restarted -> restarted(state)
        is Fault.Healed -> Decision(healed(state))
    }

    private fun InstanceState.withFaults(change: Faults.() -> Faults): InstanceDecision = Decision(copy(faults = faults.change()))

    private fun killed(state: InstanceState): InstanceDecision {
        val next = state.copy(faults = state.faults.copy(killed = true), connections = persistentMapOf(), arriving = persistentListOf())
        return Decision(next, persistentListOf(InstanceEffect.Listen(open = false)))
    }

    private fun restarted(state: InstanceState): InstanceDecision {
        if (!state.faults.killed) return Decision(state)
        val next = healed(state).appliedUpTo(state.received).copy(role = TargetRole.REPLICA, pendingApplies = persistentListOf())
        return Decision(next.copy(faults = Faults()), persistentListOf(InstanceEffect.Listen(open = true)))
    }

    private fun healed(state: InstanceState): InstanceState = state.copy(
        faults = Faults(killed = state.faults.killed),
        receiveLagMillis = state.settings.receiveLagMillis,
        applyLagMillis = state.settings.applyLagMillis,
    )
}
