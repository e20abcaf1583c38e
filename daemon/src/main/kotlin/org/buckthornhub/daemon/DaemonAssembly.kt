package org.buckthornhub.daemon

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.caller.CallerRoutes
import org.buckthornhub.caller.TraceContexts
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetAssembly
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpServer
import org.buckthornhub.http.PeerJson
import org.buckthornhub.lease.HeldLeases
import org.buckthornhub.limit.Admission
import org.buckthornhub.limit.AdmitInterceptor
import org.buckthornhub.observe.ObserveAssembly
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.AuthorizeInterceptor
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.platform.PlatformRoutes
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.routing.ReplicaRoutePolicy
import org.buckthornhub.routing.RouteInterceptor
import org.buckthornhub.session.ResumeSessionInterceptor
import org.buckthornhub.session.SessionCodec
import org.buckthornhub.settings.Settings
import org.buckthornhub.shutdown.CountedRoutes
import org.buckthornhub.shutdown.RunningDaemon
import org.buckthornhub.shutdown.ShutdownTask
import org.buckthornhub.target.ExecuteInterceptor
import org.buckthornhub.target.TargetAssembly
import java.io.File

/** Builds the tasks of one daemon and connects them. */
internal class DaemonAssembly(private val settings: Settings) {
    private val clock = SystemClock
    private val sessionCodec = SessionCodec(settings.fleetSecret)

    private val observe = ObserveAssembly(settings, clock)
    private val shutdown = ShutdownTask(settings.shutdown, early = emptyList(), late = emptyList(), clock)

    /** Starts every task in [scope], then listens. */
    fun start(scope: CoroutineScope): RunningDaemon {
        val configuration = initialConfiguration()
        val authority = PeerAuthority(settings.fleetSecret)
        val fleet = FleetAssembly(settings, authority, HttpLinks, clock)
        val targets = TargetAssembly(settings, clock, fleet.view, StateSource { ReplicatedView() }, StateSource { HeldLeases() })
        fleet.start(scope)
        targets.start(scope)
        observe.start(scope)
        shutdown.start(scope)
        val proxy = Proxy(interceptors(StateSource { configuration }, fleet.view, targets), observe.listener)
        val isReady = { shutdown.current().isReady }
        val callers =
            CallerRoutes(proxy, sessionCodec, clock, settings.defaultDeadlineMillis, TraceContexts(settings.observe.samplePercent))
        val routes =
            CountedRoutes(shutdown, isReady).of(callers.routes() + targets.routes()) +
                fleet.routes +
                observe.routes +
                PlatformRoutes(isReady).routes()
        val server = HttpServer(settings.host, settings.port, routes, settings.maxBodyBytes)
        server.start()
        return RunningDaemon(shutdown, server)
    }

    private fun interceptors(configuration: StateSource<Configuration>, fleet: StateSource<FleetView>, targets: TargetAssembly) =
        persistentListOf(
            AuthenticateInterceptor(configuration, observe.listener),
            ResumeSessionInterceptor(sessionCodec),
            AuthorizeInterceptor(configuration),
            AdmitInterceptor(Admission { _, _, _ -> Ok(0) }, observe.listener),
            RouteInterceptor(ReplicaRoutePolicy(), fleet, settings.zone, clock, observe.listener),
            ExecuteInterceptor(targets.gateway),
        )

    private fun initialConfiguration(): Configuration {
        val path = settings.initialConfiguration ?: return Configuration()
        return PeerJson.decodeFromString(Configuration.serializer(), File(path).readText())
    }
}
