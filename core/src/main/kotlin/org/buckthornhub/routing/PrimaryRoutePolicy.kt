package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/** Routes every request to the primary. Used for writes, as a fallback for reads, and as a baseline in tests. */
public class PrimaryRoutePolicy : RoutePolicy {
    override fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError> {
        val group = query.operation.group
        val targets = view.targetsOf(group)
        if (targets.isEmpty()) return Err(ProxyError(ErrorKind.GROUP_UNKNOWN, "no target of group $group has announced itself"))
        val primary = primaryOf(query, targets) ?: return Err(ProxyError(ErrorKind.NO_PRIMARY, "group $group has no primary"))
        return Ok(Route(primary.target, "primary of term ${primary.term.value}", PRIMARY_WAIT_MILLIS))
    }

    // The leadership that the quorum committed takes precedence: a replaced primary may still announce itself as primary.
    private fun primaryOf(query: RouteQuery, targets: List<TargetEntry>): TargetEntry? {
        val committed = query.leadership
        if (committed != null) return targets.firstOrNull { it.target == committed.primary }
        return targets.filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
    }

    private companion object {
        const val PRIMARY_WAIT_MILLIS = 100L
    }
}
