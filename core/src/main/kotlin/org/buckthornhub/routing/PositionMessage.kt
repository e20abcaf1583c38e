package org.buckthornhub.routing

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** What the keeper of position hints is told. */
public sealed interface PositionMessage {
    /** A write of [group] stands at [position]. */
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

    /** The targets announced themselves as [view] has it. */
    public data class Announced(val view: FleetView) : PositionMessage
}
