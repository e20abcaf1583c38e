package org.buckthornhub.daemon

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.caller.CallerRoutes
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ControlAssembly
import org.buckthornhub.control.LeaderGuard
import org.buckthornhub.fleet.FleetAssembly
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpServer
import org.buckthornhub.lease.LeaseAssembly
import org.buckthornhub.limit.Admission
import org.buckthornhub.limit.AdmitInterceptor
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.AuthorizeInterceptor
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.platform.PlatformRoutes
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.routing.ReplicaRoutePolicy
import org.buckthornhub.routing.RouteInterceptor
import org.buckthornhub.session.ResumeSessionInterceptor
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.settings.Settings
import org.buckthornhub.target.ExecuteInterceptor
import org.buckthornhub.target.TargetAssembly

/** Builds the tasks of one daemon and connects them. */
internal class DaemonAssembly(private val settings: Settings) {
    private val clock = SystemClock
    private val sessionCodec = SessionCodec(settings.fleetSecret)

    /** Starts every task in [scope], then listens. */
    fun start(scope: CoroutineScope) {
        val authority = PeerAuthority(settings.fleetSecret)
        val fleet = FleetAssembly(settings, authority, HttpLinks, clock)
        val control = ControlAssembly(settings, authority, HttpLinks, clock, fleet.view, onWithdrawn = { true })
        val leases = newLeases(fleet, control, authority)
        val targets = TargetAssembly(settings, clock, fleet.view, leases.view, leases.leases)
        fleet.start(scope)
        control.start(scope)
        leases.start(scope)
        targets.start(scope)
        val proxy = Proxy(interceptors(control, fleet.view, targets))
        val routes =
            CallerRoutes(proxy, sessionCodec, clock, settings.defaultDeadlineMillis).routes() +
                fleet.routes +
                control.routes +
                leases.routes +
                targets.routes() +
                PlatformRoutes { true }.routes()
        HttpServer(settings.host, settings.port, routes, settings.maxBodyBytes).start()
    }

    private fun newLeases(fleet: FleetAssembly, control: ControlAssembly, authority: PeerAuthority) = LeaseAssembly(
        fleet = fleet.task,
        fleetMailbox = fleet.task,
        control = control.client,
        log = control.log,
        replicated = control.view,
        authority = authority,
        operators = OperatorAuthority(settings.control.operatorSecret),
        links = HttpLinks,
        clock = clock,
        leaderOnly = { handler -> control.log?.let { LeaderGuard(it.leadership).guard(handler) } ?: handler },
    )

    private fun interceptors(control: ControlAssembly, fleet: StateSource<FleetView>, targets: TargetAssembly) = persistentListOf(
        control.refuseStale,
        AuthenticateInterceptor(control.configuration),
        ResumeSessionInterceptor(sessionCodec),
        AuthorizeInterceptor(control.configuration),
        AdmitInterceptor(Admission { _, _, _ -> Ok(0) }),
        RouteInterceptor(ReplicaRoutePolicy(), fleet, settings.zone, clock),
        ExecuteInterceptor(targets.gateway),
    )
}
