package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.target.TargetRole

/** The naive policy, a baseline for tests: everything goes to the primary with the highest term. */
public class PrimaryRoutePolicy : RoutePolicy {
    override fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError> {
        val group = query.operation.group
        val targets = view.targetsOf(group)
        if (targets.isEmpty()) return Err(ProxyError(ErrorKind.GROUP_UNKNOWN, "no target of group $group has announced itself"))
        val primary =
            targets.filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
                ?: return Err(ProxyError(ErrorKind.NO_PRIMARY, "group $group has no primary"))
        return Ok(Route(primary.target, "primary of term ${primary.term.value}"))
    }
}
