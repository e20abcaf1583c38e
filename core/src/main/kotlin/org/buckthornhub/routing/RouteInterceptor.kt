package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.clock.Clock
import org.buckthornhub.clock.Pause
import org.buckthornhub.connection.AttemptFailure
import org.buckthornhub.connection.StatementFailure
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.error.promisesNoEffect
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.proxy.Call
import org.buckthornhub.proxy.Chain
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.retry.FailedAttempt
import org.buckthornhub.retry.RetryDecision
import org.buckthornhub.retry.RetryPolicy
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.openTransaction
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TransactionRoute

/** Routes each request to a target and, where [retries] allows, retries it on the same or another one. */
public class RouteInterceptor(
    private val policy: RoutePolicy,
    private val view: StateSource<FleetView>,
    private val zone: ZoneId,
    private val clock: Clock,
    private val events: ProxyEventListener = ProxyEventListener.NONE,
    private val replicated: StateSource<ReplicatedView> = StateSource { ReplicatedView() },
    private val hints: PositionHintSource = PositionHintSource.NONE,
    private val retries: RetryPolicy = RetryPolicy.NONE,
    private val pause: Pause = Pause { },
) : Interceptor {
    override suspend fun intercept(chain: Chain): Result<ProxyResponse, ProxyError> {
        retries.started(chain.call.request.operation.group)
        return attempt(chain, attempts = persistentListOf(), avoided = persistentSetOf())
    }

    private tailrec suspend fun attempt(
        chain: Chain,
        attempts: PersistentList<AttemptFailure>,
        avoided: PersistentSet<TargetId>,
    ): Result<ProxyResponse, ProxyError> {
        val request = chain.call.request
        val route = routeOf(chain.call, avoided)
        val result = proceed(chain, route)
        val error = result.getError() ?: return result
        val target = route.get()?.target
        val failures = attempts.add(failureOf(target, error))
        val failed = FailedAttempt(request.operation, error, failures.size, clock.nowMillis(), request.deadlineMillis)
        val next = retries.decide(failed) as? RetryDecision.Retry ?: return Err(StatementFailure.of(failures).error)
        pause.pause(next.delayMillis)
        val nextAvoided = if (next.isTargetAvoided && target != null) avoided.add(target) else avoided
        return attempt(chain, failures, nextAvoided)
    }

    private fun failureOf(target: TargetId?, error: ProxyError): AttemptFailure {
        val isNotRun = target == null || error.kind.promisesNoEffect
        return if (isNotRun) AttemptFailure.NotRun(target, error) else AttemptFailure.MayHaveRun(target, error)
    }

    private suspend fun proceed(chain: Chain, route: Result<Route, ProxyError>): Result<ProxyResponse, ProxyError> {
        val (target, reason, waitMillis) = route.getOrElse { return Err(it) }
        events.routed(chain.call.request, target, reason)
        return chain.proceed(chain.call.copy(target = target, waitMillis = waitMillis))
    }

    private fun routeOf(call: Call, avoided: PersistentSet<TargetId>): Result<Route, ProxyError> {
        val operation = call.request.operation
        transactionRoute(operation)?.let { return it }
        val query =
            RouteQuery(
                operation = operation,
                position = call.session.positionIn(operation.group),
                zone = zone,
                nowMillis = clock.nowMillis(),
                leadership = replicated.current().state.leaderships[operation.group],
                hints = hints.current(),
                avoided = avoided,
                needsPrimary = operation.group in call.session.uncertain,
            )
        return policy.route(query, view.current())
    }

    // Operations of an open transaction go to the target that it began on; null for all others.
    private fun transactionRoute(operation: Operation): Result<Route, ProxyError>? {
        val id = operation.openTransaction() ?: return null
        val transaction = TransactionRoute.of(id)
            ?: return Err(ProxyError(ErrorKind.TRANSACTION_UNKNOWN, "transaction id $id was not issued by this fleet"))
        return Ok(Route(transaction.target, "the transaction is open on this target"))
    }
}
