package org.buckthornhub.routing

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.group.Position
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/** Sends a read to a replica that is known to hold the position of its session, in the own zone first. */
public class ReplicaRoutePolicy(private val fallback: RoutePolicy = PrimaryRoutePolicy()) : RoutePolicy {
    override fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError> {
        if (!isPlainRead(query.operation)) return fallback.route(query, view)
        val replica =
            view
                .targetsOf(query.operation.group)
                .filter { it.role == TargetRole.REPLICA && !it.leaving && holds(it, query.position) }
                .minWithOrNull(compareBy<TargetEntry> { it.zone != query.zone }.thenByDescending { it.applied })
                ?: return fallback.route(query, view)
        return Ok(Route(replica.target, "replica in zone ${replica.zone} holds position ${query.position.index.value}"))
    }

    private fun isPlainRead(operation: Operation): Boolean = (operation as? Operation.Run)?.statement?.access == Access.READ

    // Positions of different terms don't compare by index alone.
    private fun holds(target: TargetEntry, position: Position): Boolean =
        position == Position.START || target.term == position.term && target.applied >= position.index
}
