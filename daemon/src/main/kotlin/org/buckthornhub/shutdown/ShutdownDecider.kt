package org.buckthornhub.shutdown

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Orders a graceful shutdown.
 *
 * Readiness goes down and the early handover runs while callers leave; then in-flight requests are drained, the late handover
 * runs, and the process stops.
 */
public class ShutdownDecider(private val timing: ShutdownTiming) : Decider<ShutdownState, ShutdownMessage, ShutdownEffect> {
    override fun decide(state: ShutdownState, message: ShutdownMessage, nowMillis: Long): Decision<ShutdownState, ShutdownEffect> =
        when (message) {
            is ShutdownMessage.Begin -> begin(state, nowMillis)
            is ShutdownMessage.RequestStarted -> Decision(state.copy(inFlight = state.inFlight + 1))
            is ShutdownMessage.RequestEnded -> advance(state.copy(inFlight = state.inFlight - 1), nowMillis)
            is ShutdownMessage.EarlyHandoverEnded -> advance(state.copy(isEarlyHandoverDone = true), nowMillis)
            is ShutdownMessage.LateHandoverEnded -> stop(state, nowMillis)
            is ShutdownMessage.Tick -> advance(state, nowMillis)
        }

    private fun begin(state: ShutdownState, nowMillis: Long): Decision<ShutdownState, ShutdownEffect> {
        if (state.phase != ShutdownPhase.SERVING) return Decision(state)
        return Decision(state.entering(ShutdownPhase.LEAVING, nowMillis), persistentListOf(ShutdownEffect.HandOverEarly))
    }

    private fun advance(state: ShutdownState, nowMillis: Long): Decision<ShutdownState, ShutdownEffect> {
        val elapsedMillis = nowMillis - state.sinceMillis
        return when (state.phase) {
            ShutdownPhase.LEAVING -> {
                val isTime = elapsedMillis >= timing.leaveMillis && state.isEarlyHandoverDone
                if (isTime) advance(state.entering(ShutdownPhase.DRAINING, nowMillis), nowMillis) else Decision(state)
            }
            ShutdownPhase.DRAINING -> {
                val isDrained = state.inFlight <= 0 || elapsedMillis >= timing.drainMillis
                if (isDrained) handOverLate(state, nowMillis) else Decision(state)
            }
            ShutdownPhase.SERVING, ShutdownPhase.HANDING_OVER, ShutdownPhase.STOPPED -> Decision(state)
        }
    }

    private fun handOverLate(state: ShutdownState, nowMillis: Long): Decision<ShutdownState, ShutdownEffect> =
        Decision(state.entering(ShutdownPhase.HANDING_OVER, nowMillis), persistentListOf(ShutdownEffect.HandOverLate))

    private fun stop(state: ShutdownState, nowMillis: Long): Decision<ShutdownState, ShutdownEffect> {
        if (state.phase != ShutdownPhase.HANDING_OVER) return Decision(state)
        return Decision(state.entering(ShutdownPhase.STOPPED, nowMillis), persistentListOf(ShutdownEffect.Stop))
    }

    private fun ShutdownState.entering(next: ShutdownPhase, nowMillis: Long) = copy(phase = next, sinceMillis = nowMillis)
}
