package org.buckthornhub.limit

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlLog
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.settings.Settings
import org.buckthornhub.shutdown.HandoverStep
import kotlin.random.Random

/**
 * Builds the tasks that hold every organisation to its rate and burst over the whole fleet.
 *
 * @param log the replicated log on a control VM, null on any other
 */
internal class LimitAssembly(
    settings: Settings,
    configuration: StateSource<Configuration>,
    view: StateSource<FleetView>,
    control: ControlClient,
    log: ControlLog?,
    links: HttpLink.Factory,
    private val clock: Clock,
) {
    private val authority = PeerAuthority(settings.fleetSecret)
    private val environment =
        LimitEnvironment(settings.vm, settings.zone, Random.nextLong(), settings.limits, configuration, view)
    private val holder = ShareHolderTask(environment, control, clock)
    private val ledger = log?.let { ShareLedgerTask(it, view, settings.limits, clock) }
    private val holders = PeerTokenHolders(settings.vm, holder, view, links, authority)
    private val admissionTask = AdmissionTask(environment, holders, clock)

    val admission: Admission get() = admissionTask
    val routes: List<Route> = LimitRoutes(holder, ledger, authority).routes()

    /** Gives back what this daemon holds; in the order of a shutdown it comes after the last request. */
    val handover: HandoverStep = HandoverStep { handOver() }

    fun start(scope: CoroutineScope) {
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
