package org.buckthornhub.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetId

/**
 * Input of a routing decision, besides the view of the fleet.
 *
 * @property position oldest position that the target has to have applied
 * @property zone zone of the daemon that routes
 * @property leadership leadership of the group that the control quorum committed; null if there is none
 * @property avoided targets that earlier attempts of this request failed on
 * @property needsPrimary true if the session has a write in the group whose outcome is unknown
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
