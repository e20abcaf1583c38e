package org.buckthornhub.lease

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetMessage
import org.buckthornhub.fleet.FleetState
import org.buckthornhub.fleet.OwnerPolicy
import org.buckthornhub.fleet.RendezvousOwnerPolicy
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.promotion.PromotionSettings
import org.buckthornhub.promotion.PromotionTask
import org.buckthornhub.promotion.SwitchoverRoutes
import org.buckthornhub.status.StatusRoutes
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.task.Mailbox

/**
 * Builds the components that hold leases, and on a control VM those that grant leases and replace primaries.
 *
 * @param log control log; null on a VM outside the control quorum
 * @param leaderOnly wraps routes that only the control leader may answer
 */
internal class LeaseAssembly(
    private val fleet: StateSource<FleetState>,
    fleetMailbox: Mailbox<FleetMessage>,
    control: ControlClient,
    log: ControlLog?,
    replicated: StateSource<ReplicatedView>,
    authority: PeerAuthenticator,
    operators: OperatorAuthority,
    links: HttpLink.Factory,
    private val clock: Clock,
    settings: PromotionSettings = PromotionSettings(),
    private val healthSettings: HealthSettings = HealthSettings(),
    leaderOnly: (RouteHandler) -> RouteHandler = { it },
    private val owner: OwnerPolicy = RendezvousOwnerPolicy(),
) {
    private val self = fleet.current().self
    private val holder: HolderTask =
        HolderTask(HolderId(self.vm, self.incarnation), settings.lease, control, replicated, { reports() }, clock)
    private val health: HealthTask = HealthTask(healthSettings, { ownedTargets() }, fleetMailbox, holder, links, clock)

    /** Task that grants leases; null on a VM outside the control quorum. */
    val promotions: PromotionTask? =
        log?.let { PromotionTask(settings, it, { fleet.current().view }, links, authority.headers(), clock) }

    /** The leases that this daemon holds. */
    val leases: StateSource<HeldLeases> = holder.leases

    /** The view of the feed, with newer leaderships that the control leader has offered directly. */
    val view: StateSource<ReplicatedView> = holder.view
    val routes: List<Route> =
        LeaseRoutes({ offered(it) }, promotions, authority, leaderOnly).routes() +
            SwitchoverRoutes(control, promotions, operators, authority, leaderOnly).routes() +
            StatusRoutes(operators, fleet, replicated, leases, promotions, clock).routes()

    fun start(scope: CoroutineScope) {
        holder.start(scope)
        health.start(scope)
        promotions?.start(scope)
    }

    /** Releases all leases, because the daemon is shutting down. */
    fun leave() {
        holder.offer(HolderTaskMessage.Leave)
    }

    // Probes a new primary at once, so that the fleet learns its state before its next announcement.
    private fun offered(message: HolderTaskMessage): Boolean {
        health.offer(HealthMessage.Probe(ownedTargets()))
        return holder.offer(message)
    }

    private fun reports(): List<TargetReport> = health.current().reports(clock.nowMillis(), healthSettings)

    private fun ownedTargets(): List<TargetEntry> {
        val view = fleet.current().view
        return view.targets.values.filter { owner.ownerOf(it, view) == self.vm }
    }
}
