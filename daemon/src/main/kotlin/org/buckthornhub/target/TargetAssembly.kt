package org.buckthornhub.target

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.RendezvousOwnerPolicy
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.Route
import org.buckthornhub.lease.HeldLeases
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.ForwardRoutes
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.peer.PeerTask
import org.buckthornhub.settings.Settings
import org.buckthornhub.target.owner.LeaseWriteAuthority
import org.buckthornhub.target.owner.OwnerLimits
import org.buckthornhub.target.owner.OwnerLocator
import org.buckthornhub.target.owner.UnleasedGroupAuthority

/** Builds the owners of targets in one daemon, and the way to owners in the others. */
internal class TargetAssembly(
    settings: Settings,
    clock: Clock,
    view: StateSource<FleetView>,
    replicated: StateSource<ReplicatedView>,
    leases: StateSource<HeldLeases>,
) {
    // Without a control quorum nothing grants leases; a fleet that has one uses LeaseWriteAuthority alone.
    private val authority = UnleasedGroupAuthority(LeaseWriteAuthority(leases, replicated), replicated, view)
    private val peerAuthority = PeerAuthority(settings.fleetSecret)
    private val environment =
        OwnerEnvironment(settings.vm, clock, view, authority, { HttpTargetDriver(it, HttpLinks.open(it.address)) }, replicated)
    private val own = GatewayTask(environment, OwnerLimits())
    private val peers = PeerTask(view, HttpLinks, peerAuthority, clock)
    private val locator = OwnerLocator(settings.vm, view, replicated, RendezvousOwnerPolicy())
    private val forwardRoutes = ForwardRoutes(own, peerAuthority, clock)

    /** The way to every target. */
    val gateway: TargetGateway = OwnedTargetGateway(settings.vm, view, locator, own, peers)

    fun start(scope: CoroutineScope) {
        own.start(scope)
        peers.start(scope)
    }

    fun routes(): List<Route> = forwardRoutes.routes()

    /** Rolls back the transactions of [organisation] that are open in this daemon; its key was withdrawn. */
    fun endTransactionsOf(organisation: OrganisationId) {
        own.offer(GatewayMessage.EndTransactionsOf(organisation))
    }
}
