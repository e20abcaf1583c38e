package org.buckthornhub.coordination

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.control.ControlTask
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.quota.BucketRate
import org.buckthornhub.quota.LimitDivision
import org.buckthornhub.quota.LimitObserver
import org.buckthornhub.quota.ReserveWithdrawal
import org.buckthornhub.quota.TokenReserve
import org.buckthornhub.task.Task

/** Grants tokens from the reserve of each limit, as long as no other VM can be the control leader. */
internal class ReserveTask(
    private val control: ControlTask,
    private val coordinator: StateSource<CoordinatorState>,
    private val clock: Clock,
    private val policy: ReservePolicy = ReservePolicy(),
    private val observer: LimitObserver = LimitObserver.NONE,
) : Task<ReserveCommand>("reserve") {
    private var controlTerm = 0L
    private val unavailable = ReserveGrant(tokens = 0, isUnavailable = true.takeIf { policy.adaptsToLoad })
    private var reserve = TokenReserve(clock.nowMillis())

    suspend fun grant(request: ReserveRequest): ReserveGrant {
        val answer = CompletableDeferred<ReserveGrant>()
        return if (offer(ReserveCommand(request, answer))) answer.await() else unavailable
    }

    override suspend fun handle(message: ReserveCommand) {
        message.answer.complete(grantOf(message.request))
    }

    private fun grantOf(request: ReserveRequest): ReserveGrant {
        val leadership = control.leadership.current()
        val view = control.view()
        val nowMillis = clock.nowMillis()
        // Another VM can lead only after this one has gone without a confirmation by a majority for longer than this.
        val ageMillis = view.freshMillis?.let { nowMillis - it } ?: return unavailable
        if (!leadership.isLeader || ageMillis !in 0..MAX_CONFIRMATION_AGE_MILLIS) return unavailable
        val access = view.state.routeTable?.table?.organisations?.get(request.organisation) ?: return ReserveGrant(tokens = 0)
        if (leadership.controlTerm != controlTerm) {
            controlTerm = leadership.controlTerm
            reserve = reserveOf(leadership, nowMillis)
        }
        val fraction = LimitDivision.reserveFraction(CoordinatorDecider.fleetSize(coordinator.current(), nowMillis))
        val withdrawal = withdraw(request, access.limit, access.limit.scaledBy(fraction), nowMillis)
        reserve = withdrawal.reserve
        observer.issued(withdrawal.tokens)
        val missing = request.tokens - withdrawal.tokens
        if (missing > 0) observer.refused(request.organisation, missing, withdrawal.retryAfterMillis)
        val isLow = (withdrawal.isLow && policy.adaptsToLoad).takeIf { it }
        return ReserveGrant(withdrawal.tokens, withdrawal.retryAfterMillis, withdrawal.spacingMillis, isLow = isLow)
    }

    private fun withdraw(request: ReserveRequest, limit: BucketRate, rate: BucketRate, nowMillis: Long): ReserveWithdrawal {
        val returned = request.returned?.takeIf { policy.adaptsToLoad && it > 0 } ?: 0
        observer.returned(returned)
        val filled = if (returned > 0) reserve.deposit(request.organisation, returned, rate, nowMillis) else reserve
        return filled.withdraw(request.organisation, request.tokens, rate, nowMillis, reserve.startTokens(limit))
    }

    // Each vote for this leader came an election timeout after the voter last confirmed the former one, which stopped granting
    // MAX_CONFIRMATION_AGE_MILLIS after that confirmation. So nobody granted tokens in between, and the reserve refilled.
    private fun reserveOf(leadership: ControlLeadership, nowMillis: Long): TokenReserve {
        if (!policy.adaptsToLoad) return TokenReserve(nowMillis)
        val idleMillis = (policy.electionMillis - MAX_CONFIRMATION_AGE_MILLIS).coerceAtLeast(0)
        val startedMillis = leadership.sinceMillis - idleMillis
        val next = TokenReserve.ofTerm(leadership.controlTerm, startedMillis, policy.isFirstStart, adaptsToLoad = true)
        val start = if (next.isFirst) "with tokens, as no other leader has issued any" else "empty, refilling for $idleMillis ms already"
        logger.info { "the reserve of the limits starts $start in term ${leadership.controlTerm}" }
        return next
    }

    private companion object {
        /** Less than the shortest election timeout of the quorum; in ms. */
        const val MAX_CONFIRMATION_AGE_MILLIS = 500L
        val logger = KotlinLogging.logger {}
    }
}
