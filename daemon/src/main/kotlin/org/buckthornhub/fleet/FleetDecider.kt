package org.buckthornhub.fleet

import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/** Keeps the newest announcement of each target. */
public class FleetDecider : Decider<FleetView, FleetMessage, Nothing> {
    override fun decide(state: FleetView, message: FleetMessage, nowMillis: Long): Decision<FleetView, Nothing> = when (message) {
        is FleetMessage.Announced -> Decision(announced(state, message, nowMillis))
    }

    private fun announced(state: FleetView, message: FleetMessage.Announced, nowMillis: Long): FleetView {
        val entry = message.announcement.toEntry(nowMillis)
        return state.copy(targets = state.targets.put(entry.target, entry))
    }
}
