package org.buckthornhub.routing

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Operation

/**
 * What a route depends on, besides the view of the fleet.
 *
 * @property position what the session has to see
 * @property zone zone of the daemon that routes
 */
public data class RouteQuery(
    val operation: Operation,
    val position: Position,
    val zone: ZoneId,
    val nowMillis: Long,
)
