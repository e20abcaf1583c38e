package org.buckthornhub.routing

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetEntry

/** A request of a session at [position], and the target that it is routed to or the error that it fails with. */
internal data class RouteCase(
    val name: String,
    val position: Position = Position.START,
    val access: Access = Access.READ,
    val targets: List<TargetEntry>,
    val hints: PositionHints = PositionHints(),
    val leadership: GroupLeadership? = null,
    val avoided: List<String> = emptyList(),
    val needsPrimary: Boolean = false,
    val nowMillis: Long = 1_000,
    val target: String? = null,
    val error: ErrorKind? = null,
)
