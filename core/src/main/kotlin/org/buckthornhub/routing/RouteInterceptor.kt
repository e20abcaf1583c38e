package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyResponse

/** Chooses the target of each request. */
public class RouteInterceptor(
    private val policy: RoutePolicy,
    private val view: StateSource<FleetView>,
    private val zone: ZoneId,
    private val clock: Clock,
    private val events: ProxyEventListener = ProxyEventListener.NONE,
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        val call = chain.call
        val operation = call.request.operation
        val query = RouteQuery(operation, call.session.positionIn(operation.group), zone, clock.nowMillis())
        val route = policy.route(query, view.current()).getOrElse { return Err(it) }
        events.routed(call.request, route.target, route.reason)
        return chain.proceed(call.copy(target = route.target))
    }
}
