package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlAssembly
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.LeaderGuard
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.http.RouteHandler
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.settings.Settings
import org.buckthornhub.shutdown.HandoverStep
import kotlin.random.Random

/** Builds the tasks that enforce the rate and burst of every organisation across the fleet. */
internal class LimitAssembly(
    environment: LimitEnvironment,
    client: ControlClient,
    log: ControlLog?,
    links: HttpLink.Factory,
    authority: PeerAuthenticator,
    clock: Clock,
    isStandalone: Boolean = false,
) {
    private val holder = ShareHolderTask(environment, client, clock)
    private val ledger = log?.let { ShareLedgerTask(it, environment.view, environment.timing, clock) }
    private val holders = PeerTokenHolders(environment.vm, holder, environment.view, links, authority)
    private val admissionTask = AdmissionTask(environment, holders, clock)
    private val leaderOnly: (
        RouteHandler,
    ) -> RouteHandler = { handler -> log?.let { LeaderGuard(it.leadership).guard(handler) } ?: handler }

    private val standalone = if (isStandalone) StandaloneAdmission(environment.timing, clock) else null

    val admission: Admission get() = standalone ?: admissionTask
    val routes: List<Route> = LimitRoutes(holder, ledger, authority, leaderOnly).routes()

    /** Returns the tokens that this daemon holds. Runs after the last request in the order of a shutdown. */
    val handover: HandoverStep = HandoverStep { handOver() }

    /** Builds the limits of a daemon. Without a control quorum it is standalone and has one bucket for each organisation. */
    constructor(settings: Settings, control: ControlAssembly, view: StateSource<FleetView>, links: HttpLink.Factory, clock: Clock) : this(
        environment =
        LimitEnvironment(settings.vm, settings.zone, Random.nextLong(), settings.limits, control.configuration, view),
        client = control.client,
        log = control.log,
        links = links,
        authority = PeerAuthenticator(settings.fleetSecret),
        clock = clock,
        isStandalone = settings.control.members.isEmpty(),
    )

    fun start(scope: CoroutineScope) {
        standalone?.start(scope)
        ledger?.start(scope)
        holder.start(scope)
        holders.start(scope)
        admissionTask.start(scope)
    }

    private suspend fun handOver() {
        val done = CompletableDeferred<Unit>()
        if (admissionTask.offer(AdmissionCall.Leave(done))) done.await()
    }
}
