package org.buckthornhub.routing

import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/** Keeps the hints of one router. */
public class PositionDecider : Decider<PositionHints, PositionMessage, Nothing> {
    override fun decide(state: PositionHints, message: PositionMessage, nowMillis: Long): Decision<PositionHints, Nothing> =
        when (message) {
            is PositionMessage.Written -> Decision(state.heard(message.group, message.position, nowMillis))
            is PositionMessage.Applied -> Decision(state.seen(message.group, message.target, message.position, nowMillis))
            is PositionMessage.Announced -> Decision(announced(state, message.view.targets.values))
        }

    private fun announced(state: PositionHints, targets: Collection<TargetEntry>): PositionHints {
        val (primaries, replicas) = targets.partition { it.role == TargetRole.PRIMARY }
        val heard = primaries.fold(state) { hints, entry -> hints.heard(entry.group, positionOf(entry), entry.heardMillis) }
        return replicas.fold(heard) { hints, entry -> hints.seen(entry.group, entry.target, positionOf(entry), entry.heardMillis) }
    }

    private fun positionOf(entry: TargetEntry) = Position(entry.term, entry.applied)
}
