package org.buckthornhub.fleet

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.settings.Settings

/** Builds the components that maintain a daemon's view of the fleet. */
internal class FleetAssembly(
    settings: Settings,
    authority: PeerAuthenticator,
    links: HttpLink.Factory,
    clock: Clock,
) {
    private val self =
        DaemonEntry(
            vm = settings.vm,
            zone = settings.zone,
            address = "${settings.host}:${settings.port}",
            incarnation = clock.wallMillis(),
            control = settings.vm in settings.control.members,
        )
    val task: FleetTask = FleetTask(self, FleetSettings(seeds = settings.fleetSeeds), authority.headers(), links, clock)
    val view: StateSource<FleetView> = task.view
    val routes: List<Route> = AnnounceRoutes(task).routes() + GossipRoutes(task, authority, links).routes()

    fun start(scope: CoroutineScope) {
        task.start(scope)
    }
}
