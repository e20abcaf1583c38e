package org.buckthornhub.routing

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** An observation that updates the position hints. */
public sealed interface PositionMessage {
    /** A write or a read from the primary of [group] returned [position]. */
    public data class Written(
        val group: GroupId,
        val position: Position,
    ) : PositionMessage

    /** The replica [target] has applied [position]. */
    public data class Applied(
        val group: GroupId,
        val target: TargetId,
        val position: Position,
    ) : PositionMessage

    /** Carries the newest announcements of all targets, as collected in [view]. */
    public data class Announced(val view: FleetView) : PositionMessage
}
