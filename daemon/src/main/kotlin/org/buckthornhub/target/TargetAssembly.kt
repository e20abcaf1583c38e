package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.RendezvousOwnerPolicy
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.lease.HeldLeases
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.peer.ForwardRoutes
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.PeerTask
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.retry.BudgetRetryPolicy
import org.buckthornhub.retry.RetryBudgetTask
import org.buckthornhub.routing.PositionTask
import org.buckthornhub.routing.ReplicaRoutePolicy
import org.buckthornhub.routing.RouteInterceptor
import org.buckthornhub.settings.Settings
import org.buckthornhub.target.owner.LeaseWriteAuthority
import org.buckthornhub.target.owner.OwnerLocator
import org.buckthornhub.target.owner.UnleasedGroupAuthority
import org.buckthornhub.target.owner.WriteAuthority

/** Builds the owners of targets in one daemon, and the gateway to the owners in other daemons. */
internal class TargetAssembly(
    private val settings: Settings,
    private val clock: Clock,
    private val view: StateSource<FleetView>,
    private val replicated: StateSource<ReplicatedView>,
    leases: StateSource<HeldLeases>,
    links: HttpLink.Factory,
) {
    // Without a control quorum there are no leases.
    private val authority: WriteAuthority =
        if (settings.control.members.isEmpty()) UnleasedGroupAuthority(view) else LeaseWriteAuthority(leases, replicated)
    private val peerAuthority = PeerAuthenticator(settings.fleetSecret)
    private val drivers = TargetDriver.Factory { HttpTargetDriver(it, links.open(it.address)) }
    private val environment = OwnerEnvironment(settings.vm, clock, view, authority, drivers, replicated) { group, after ->
        samples.samplesOf(group, after)
    }
    private val localGateway = GatewayTask(environment, settings.owner)
    private val peers = PeerTask(view, links, peerAuthority, clock)
    private val locator = OwnerLocator(settings.vm, view, replicated, RendezvousOwnerPolicy())
    private val samples: SampleSource = OwnedSampleSource(settings.vm, clock, view, replicated, locator, localGateway, peers)
    private val positions = PositionTask(clock, view)
    private val retryBudget = RetryBudgetTask()
    private val forwardRoutes = ForwardRoutes(localGateway, peerAuthority, clock)

    private val gateway: TargetGateway = OwnedTargetGateway(settings.vm, view, locator, localGateway, peers)

    /** Returns the last interceptors of the request path: they route, retry, and execute the request through the owner of the target. */
    fun interceptors(events: ProxyEventListener = ProxyEventListener.NONE): PersistentList<Interceptor> = persistentListOf(
        RouteInterceptor(
            policy = ReplicaRoutePolicy(),
            view = view,
            zone = settings.zone,
            clock = clock,
            events = events,
            replicated = replicated,
            hints = positions,
            retries = BudgetRetryPolicy(retryBudget),
            pause = { delay(it) },
        ),
        ExecuteInterceptor(gateway, positions, settings.sessions),
    )

    fun start(scope: CoroutineScope) {
        localGateway.start(scope)
        peers.start(scope)
        positions.start(scope)
        retryBudget.start(scope)
    }

    fun routes(): List<Route> = forwardRoutes.routes()

    /** Rolls back the open transactions of [organisation] in this daemon, because its key was withdrawn. */
    fun endTransactionsOf(organisation: OrganisationId) {
        localGateway.offer(GatewayMessage.EndTransactionsOf(organisation))
    }
}
