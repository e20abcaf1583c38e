package org.buckthornhub.routing

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView

/** Chooses the target of a request from the state of this daemon; never blocks. */
public fun interface RoutePolicy {
    public fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError>
}
