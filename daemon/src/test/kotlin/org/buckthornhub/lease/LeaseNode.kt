package org.buckthornhub.lease

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetAssembly
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpServer
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.settings.Settings
import org.buckthornhub.settings.SettingsLoader

/** A daemon reduced to fleet membership and leases, with its own port. It also grants leases if [isControl]. */
internal class LeaseNode(
    name: String,
    zone: String,
    private val port: Int,
    controlPort: Int,
    log: ControlLog,
    private val isControl: Boolean,
) {
    private val settings: Settings = settingsOf(name, zone, port, controlPort)
    private val authority = PeerAuthenticator(settings.fleetSecret)
    val fleet = FleetAssembly(settings, authority, HttpLinks, SystemClock)
    private val control = HttpLinks.open("$HOST:$controlPort")
    val leases =
        LeaseAssembly(
            fleet = fleet.task,
            fleetMailbox = fleet.task,
            control = { path, body, timeoutMillis -> control.post(path, body, timeoutMillis, authority.headers()) },
            log = log.takeIf { isControl },
            replicated = { ReplicatedView(log.state.current()) },
            authority = authority,
            operators = OperatorAuthority(null),
            links = HttpLinks,
            clock = SystemClock,
        )

    fun start(scope: CoroutineScope) {
        fleet.start(scope)
        leases.start(scope)
        HttpServer(HOST, port, fleet.routes + leases.routes).start()
    }

    private fun settingsOf(name: String, zone: String, port: Int, controlPort: Int): Settings {
        val text =
            """
            vm = "$name"
            zone = "$zone"
            [listen]
            port = $port
            [fleet]
            secret = "secret-of-the-bench"
            seeds = ["$HOST:$controlPort"]
            """.trimIndent()
        return checkNotNull(SettingsLoader().load(text).component1()).also { check(it.vm == VmId(name) && it.zone == ZoneId(zone)) }
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
