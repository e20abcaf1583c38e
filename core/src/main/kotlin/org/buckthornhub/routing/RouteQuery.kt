package org.buckthornhub.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetId

/**
 * What a route depends on, besides the view of the fleet.
 *
 * @property position what the session has to see
 * @property zone zone of the daemon that routes
 * @property leadership who leads the group, as the control quorum committed it; null if it has not
 * @property avoided targets that this request has met in vain
 * @property needsPrimary true if the session has a write whose outcome it does not know
 */
public data class RouteQuery(
    val operation: Operation,
    val position: Position,
    val zone: ZoneId,
    val nowMillis: Long,
    val leadership: GroupLeadership? = null,
    val hints: PositionHints = PositionHints(),
    val avoided: PersistentSet<TargetId> = persistentSetOf(),
    val needsPrimary: Boolean = false,
)
