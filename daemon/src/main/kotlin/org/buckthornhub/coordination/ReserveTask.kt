package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlTask
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.quota.LimitDivision
import org.buckthornhub.quota.TokenReserve
import org.buckthornhub.task.Task

/** Grants tokens from the reserve of each limit, as long as no other VM can be the control leader. */
internal class ReserveTask(
    private val control: ControlTask,
    private val coordinator: StateSource<CoordinatorState>,
    private val clock: Clock,
) : Task<ReserveCommand>("reserve") {
    private var controlTerm = 0L
    private var reserve = TokenReserve(clock.nowMillis())

    suspend fun grant(request: ReserveRequest): ReserveGrant {
        val answer = CompletableDeferred<ReserveGrant>()
        return if (offer(ReserveCommand(request, answer))) answer.await() else emptyGrant
    }

    override suspend fun handle(message: ReserveCommand) {
        message.answer.complete(grantOf(message.request))
    }

    private fun grantOf(request: ReserveRequest): ReserveGrant {
        val leadership = control.leadership.current()
        val view = control.view()
        val nowMillis = clock.nowMillis()
        // Another VM can lead only after this one has gone without a confirmation by a majority for longer than this.
        val ageMillis = view.freshMillis?.let { nowMillis - it } ?: return emptyGrant
        if (!leadership.isLeader || ageMillis !in 0..MAX_CONFIRMATION_AGE_MILLIS) return emptyGrant
        val access = view.state.routeTable?.table?.organisations?.get(request.organisation) ?: return emptyGrant
        if (leadership.controlTerm != controlTerm) {
            controlTerm = leadership.controlTerm
            reserve = TokenReserve(nowMillis)
        }
        val fraction = LimitDivision.reserveFraction(CoordinatorDecider.fleetSize(coordinator.current(), nowMillis))
        val withdrawal = reserve.withdraw(request.organisation, request.tokens, access.limit.scaledBy(fraction), nowMillis)
        reserve = withdrawal.reserve
        return ReserveGrant(withdrawal.tokens, withdrawal.retryAfterMillis, withdrawal.spacingMillis)
    }

    private companion object {
        /** Less than the shortest election timeout of the quorum; in ms. */
        const val MAX_CONFIRMATION_AGE_MILLIS = 500L
        val emptyGrant = ReserveGrant(tokens = 0)
    }
}
