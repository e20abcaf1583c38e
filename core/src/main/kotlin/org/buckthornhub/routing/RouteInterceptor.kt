package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.openTransaction
import org.buckthornhub.target.TransactionRoute

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
        val route = transactionRoute(operation) ?: policy.route(query, view.current())
        val (target, reason) = route.getOrElse { return Err(it) }
        events.routed(call.request, target, reason)
        return chain.proceed(call.copy(target = target))
    }

    // A transaction stays where it began; null for anything outside one.
    private fun transactionRoute(operation: Operation): Result<Route, ProxyError>? {
        val id = operation.openTransaction() ?: return null
        val known = TransactionRoute.of(id) ?: return Err(ProxyError(ErrorKind.TRANSACTION_UNKNOWN, "no transaction $id was begun here"))
        return Ok(Route(known.target, "its transaction is open there"))
    }
}
