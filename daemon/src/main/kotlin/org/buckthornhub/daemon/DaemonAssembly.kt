package org.buckthornhub.daemon

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.caller.CallerRoutes
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ControlAssembly
import org.buckthornhub.control.LeaderGuard
import org.buckthornhub.fleet.FleetAssembly
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpServer
import org.buckthornhub.http.Route
import org.buckthornhub.lease.LeaseAssembly
import org.buckthornhub.limit.Admission
import org.buckthornhub.limit.AdmitInterceptor
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.AuthorizeInterceptor
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.platform.PlatformRoutes
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.session.ResumeSessionInterceptor
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.settings.Settings
import org.buckthornhub.target.TargetAssembly

/** Builds the tasks of one daemon and connects them; every connection to another process comes from [links]. */
internal class DaemonAssembly(
    private val settings: Settings,
    links: HttpLink.Factory,
) {
    private val clock = SystemClock
    private val sessionCodec = SessionCodec(settings.fleetSecret)
    private val authority = PeerAuthority(settings.fleetSecret)
    private val fleet = FleetAssembly(settings, authority, links, clock)
    private val control = ControlAssembly(settings, authority, links, clock, fleet.view) { endTransactions(it) }
    private val leases =
        LeaseAssembly(
            fleet = fleet.task,
            fleetMailbox = fleet.task,
            control = control.client,
            log = control.log,
            replicated = control.view,
            authority = authority,
            operators = OperatorAuthority(settings.control.operatorSecret),
            links = links,
            clock = clock,
            leaderOnly = { handler -> control.log?.let { LeaderGuard(it.leadership).guard(handler) } ?: handler },
        )
    private val targets: TargetAssembly = TargetAssembly(settings, clock, fleet.view, control.view, leases.leases, links)

    /** Starts every task in [scope], then listens. */
    fun start(scope: CoroutineScope) {
        fleet.start(scope)
        control.start(scope)
        leases.start(scope)
        targets.start(scope)
        HttpServer(settings.host, settings.port, routes(), settings.maxBodyBytes).start()
    }

    private fun routes(): List<Route> = CallerRoutes(Proxy(interceptors()), sessionCodec, clock, settings.defaultDeadlineMillis).routes() +
        fleet.routes +
        control.routes +
        leases.routes +
        targets.routes() +
        PlatformRoutes { true }.routes()

    private fun interceptors(): PersistentList<Interceptor> = persistentListOf(
        control.refuseStale,
        AuthenticateInterceptor(control.configuration),
        ResumeSessionInterceptor(sessionCodec),
        AuthorizeInterceptor(control.configuration),
        AdmitInterceptor(Admission { _, _, _ -> Ok(0) }),
    ).addAll(targets.interceptors())

    private fun endTransactions(withdrawn: Set<KeyRecord>): Boolean {
        withdrawn.forEach { targets.endTransactionsOf(it.organisation) }
        return true
    }
}
