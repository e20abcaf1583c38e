package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlTask
import org.buckthornhub.quota.TokenReserve
import org.buckthornhub.task.Task

/** Gives away what the control leader keeps back of each limit, as long as this VM surely leads. */
internal class ReserveTask(
    private val control: ControlTask,
    private val clock: Clock,
) : Task<ReserveCommand>("reserve") {
    private var controlTerm = 0L
    private var reserve = TokenReserve(clock.nowMillis())

    suspend fun grant(request: ReserveRequest): ReserveGrant {
        val answer = CompletableDeferred<ReserveGrant>()
        return if (offer(ReserveCommand(request, answer))) answer.await() else nothing
    }

    override suspend fun handle(message: ReserveCommand) {
        message.answer.complete(grantOf(message.request))
    }

    private fun grantOf(request: ReserveRequest): ReserveGrant {
        val leadership = control.leadership.current()
        val view = control.view()
        val nowMillis = clock.nowMillis()
        // Before another VM can lead, this one has not heard a majority for longer.
        if (!leadership.isLeader || nowMillis - view.freshMillis > SURE_MILLIS) return nothing
        val access = view.state.routeTable?.table?.organisations?.get(request.organisation) ?: return nothing
        if (leadership.controlTerm != controlTerm) {
            controlTerm = leadership.controlTerm
            reserve = TokenReserve(nowMillis)
        }
        val withdrawal = reserve.withdraw(request.organisation, request.tokens, access.limit, nowMillis)
        reserve = withdrawal.reserve
        return ReserveGrant(withdrawal.tokens)
    }

    private companion object {
        /** Less than the shortest silence after which the quorum elects another leader; in ms. */
        const val SURE_MILLIS = 500L
        val nothing = ReserveGrant(tokens = 0)
    }
}
