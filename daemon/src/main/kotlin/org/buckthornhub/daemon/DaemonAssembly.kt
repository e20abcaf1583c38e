package org.buckthornhub.daemon

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.caller.CallerRoutes
import org.buckthornhub.caller.TraceContexts
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ControlAssembly
import org.buckthornhub.control.LeaderGuard
import org.buckthornhub.fleet.FleetAssembly
import org.buckthornhub.fleet.FleetMessage
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpServer
import org.buckthornhub.http.Route
import org.buckthornhub.lease.LeaseAssembly
import org.buckthornhub.limit.AdmitInterceptor
import org.buckthornhub.limit.LimitAssembly
import org.buckthornhub.liveness.LivenessRoutes
import org.buckthornhub.observe.ObserveAssembly
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.AuthorizeInterceptor
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.peer.ZonedLinks
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.session.ResumeSessionInterceptor
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.settings.Settings
import org.buckthornhub.shutdown.CountedRoutes
import org.buckthornhub.shutdown.HandoverStep
import org.buckthornhub.shutdown.RunningDaemon
import org.buckthornhub.shutdown.ShutdownTask
import org.buckthornhub.target.TargetAssembly

/** Creates the tasks of one daemon and wires them together; [network] opens every connection to another process. */
internal class DaemonAssembly(
    private val settings: Settings,
    network: HttpLink.Factory,
) {
    private val links = ZonedLinks(network, settings.zone)
    private val clock = SystemClock
    private val sessionCodec = SessionCodec(settings.fleetSecret)
    private val authority = PeerAuthenticator(settings.fleetSecret)
    private val observe = ObserveAssembly(settings, clock)
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
    private val limits = LimitAssembly(settings, control, fleet.view, links, clock)
    private val targets: TargetAssembly = TargetAssembly(settings, clock, fleet.view, leases.view, leases.leases, links)
    private val shutdown =
        ShutdownTask(
            timing = settings.shutdown,
            early = listOf(HandoverStep { fleet.task.offer(FleetMessage.Leave) }, HandoverStep { leases.leave() }),
            late = listOf(limits.handover),
            clock = clock,
        )

    /** Starts every task in [scope], then opens the HTTP server. */
    fun start(scope: CoroutineScope): RunningDaemon {
        observe.start(scope)
        shutdown.start(scope)
        fleet.start(scope)
        control.start(scope)
        leases.start(scope)
        limits.start(scope)
        targets.start(scope)
        val server = HttpServer(settings.host, settings.port, routes(), settings.maxBodyBytes)
        server.start()
        return RunningDaemon(shutdown, server)
    }

    private fun routes(): List<Route> {
        val isReady = { shutdown.current().isReady }
        val traces = TraceContexts(settings.observe.samplePercent)
        val proxy = Proxy(interceptors(), observe.listener)
        val callers = CallerRoutes(proxy, sessionCodec, clock, settings.defaultDeadlineMillis, traces)
        return CountedRoutes(shutdown, isReady).wrap(callers.routes() + targets.routes()) +
            fleet.routes +
            control.routes +
            leases.routes +
            limits.routes +
            observe.routes +
            LivenessRoutes { isReady() && control.isReady() }.routes()
    }

    private fun interceptors(): PersistentList<Interceptor> = persistentListOf(
        control.refuseStale,
        AuthenticateInterceptor(control.configuration, observe.listener),
        ResumeSessionInterceptor(sessionCodec),
        AuthorizeInterceptor(control.configuration),
        AdmitInterceptor(limits.admission, observe.listener),
    ).addAll(targets.interceptors(observe.listener))

    private fun endTransactions(withdrawn: Set<KeyRecord>): Boolean {
        withdrawn.forEach { targets.endTransactionsOf(it.organisation) }
        return true
    }
}
