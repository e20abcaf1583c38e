package org.buckthornhub.routing

import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/** Updates the position hints of one router from writes, replica answers and announcements. */
public class PositionDecider : Decider<PositionHints, PositionMessage, Nothing> {
    override fun decide(state: PositionHints, message: PositionMessage, nowMillis: Long): Decision<PositionHints, Nothing> =
        when (message) {
            is PositionMessage.Written -> Decision(state.withPrimaryPosition(message.group, message.position, nowMillis))
            is PositionMessage.Applied -> Decision(state.withReplicaPosition(message.group, message.target, message.position, nowMillis))
            is PositionMessage.Announced -> Decision(withAnnouncements(state, message.view.targets.values))
        }

    private fun withAnnouncements(state: PositionHints, targets: Collection<TargetEntry>): PositionHints {
        val (primaries, replicas) = targets.partition { it.role == TargetRole.PRIMARY }
        val updated = primaries.fold(state) { hints, entry ->
            hints.withPrimaryPosition(entry.group, positionOf(entry), entry.announcedMillis)
        }
        return replicas.fold(updated) { hints, entry ->
            hints.withReplicaPosition(entry.group, entry.target, positionOf(entry), entry.announcedMillis)
        }
    }

    private fun positionOf(entry: TargetEntry) = Position(entry.term, entry.applied)
}
