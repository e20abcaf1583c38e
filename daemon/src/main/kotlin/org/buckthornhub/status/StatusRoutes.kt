package org.buckthornhub.status

import io.ktor.http.HttpMethod
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetState
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.TargetUpdate
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.Route
import org.buckthornhub.http.WireJson
import org.buckthornhub.lease.HeldLeases
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.promotion.PromotionState
import org.buckthornhub.status.wire.LeaseStatus
import org.buckthornhub.status.wire.PromotionStatus
import org.buckthornhub.status.wire.StatusBody

/** `GET /v1/operator/status`: this daemon's view of the fleet, leaderships, leases and promotions. */
internal class StatusRoutes(
    private val authority: OperatorAuthority,
    private val fleet: StateSource<FleetState>,
    private val replicated: StateSource<ReplicatedView>,
    private val leases: StateSource<HeldLeases>,
    private val promotions: StateSource<PromotionState>?,
    private val clock: Clock,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Get, "/v1/operator/status", authority.guard { reply() }))

    private fun reply() = HttpReply(OK, WireJson.encodeToString(StatusBody.serializer(), status(clock.nowMillis())))

    private fun status(nowMillis: Long): StatusBody {
        val state = fleet.current()
        val control = replicated.current()
        return StatusBody(
            vm = state.self.vm,
            controlAgeMillis = control.freshMillis?.let { nowMillis - it },
            daemons = state.view.daemons.values.sortedBy { it.vm.value },
            targets = state.view.targets.values.sortedBy { it.target.value }.map { TargetUpdate(it, nowMillis - it.announcedMillis) },
            leaderships = control.state.leaderships.values.sortedBy { it.group.value },
            leases = leases.current().leases.values.map { LeaseStatus(it.group, it.term, it.validUntilMillis - nowMillis, it.isDraining) },
            promotions = promotions?.current()?.takeIf { it.control.isLeader }?.let { statusOf(it, nowMillis) },
        )
    }

    private fun statusOf(state: PromotionState, nowMillis: Long): List<PromotionStatus> =
        state.promotions.values.map { PromotionStatus(it.group, it.reason.name, it.step.name, nowMillis - it.sinceMillis) }

    private companion object {
        const val OK = 200
    }
}
