package org.buckthornhub.standin

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpServer
import org.buckthornhub.standin.instance.AnnounceTask
import org.buckthornhub.standin.instance.DaemonAddress
import org.buckthornhub.standin.instance.FaultRoutes
import org.buckthornhub.standin.instance.InstanceClient
import org.buckthornhub.standin.instance.InstanceRoutes
import org.buckthornhub.standin.instance.InstanceState
import org.buckthornhub.standin.instance.InstanceTask
import org.buckthornhub.standin.instance.announcement
import org.buckthornhub.standin.network.DelayedPeers
import org.buckthornhub.standin.network.ListenerTask
import org.buckthornhub.standin.network.NetworkGate
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * Builds and starts the instances of one group in this process.
 *
 * Instance i listens on the configured port plus i. The port after the last instance serves fault injection and logs, so that
 * both remain available while instances are killed.
 */
internal class GroupAssembly(
    private val options: StandinOptions,
    private val scope: CoroutineScope,
) {
    private val group = GroupId(options.group)
    private val zones = options.zones.split(',').map { ZoneId(it) }
    private val listeners = zones.indices.map { index -> ListenerTask("listener-$index") { newServer(index) } }
    private val tasks: PersistentList<InstanceTask> = zones.indices.map { newTask(it) }.toPersistentList()

    fun start() {
        tasks.forEach { it.start(scope) }
        zones.indices.forEach { index ->
            listeners[index].start(scope)
            listeners[index].offer(true)
            newAnnouncer(index).start(scope)
        }
        val routes = tasks.flatMapIndexed { index, task -> FaultRoutes(group, InstanceClient(task), "/instances/${index + 1}").routes() }
        HttpServer(HOST, options.port + zones.size, routes).start()
    }

    private fun newTask(index: Int): InstanceTask {
        val role = if (index == 0) TargetRole.PRIMARY else TargetRole.REPLICA
        val initial = InstanceState(targetOf(index), zones[index], role, Term(1), options.settings())
        val peers = DelayedPeers(scope, zones[index], options.betweenZonesMillis) { tasks.removeAt(index) }
        return InstanceTask(initial, SystemClock, peers, listeners[index])
    }

    private fun newServer(index: Int): HttpServer {
        val task = tasks[index]
        val client = InstanceClient(task)
        val gate = NetworkGate(zones[index], options.betweenZonesMillis) { task.current().faults }
        val guarded = InstanceRoutes(group, addressOf(index), options.connectMillis, client, ::targetAt).routes().map { gate.wrap(it) }
        return HttpServer(HOST, options.port + index, guarded + FaultRoutes(group, client).routes())
    }

    private fun newAnnouncer(index: Int): AnnounceTask {
        val daemons = options.announce.split(',').map { DaemonAddress.parse(it) }.toPersistentList()
        val state = { tasks[index].current() }
        return AnnounceTask("announce-$index", daemons, HttpLinks, { state().announcement(group, addressOf(index)) }) { zone ->
            when {
                !state().faults.announcesTo(zone) -> null
                zone == null || zone == zones[index] -> 0
                else -> options.betweenZonesMillis
            }
        }
    }

    private fun targetOf(index: Int) = TargetId("${options.group}-${index + 1}")

    private fun addressOf(index: Int) = "$HOST:${options.port + index}"

    private fun targetAt(address: String): TargetId =
        zones.indices.firstOrNull { addressOf(it) == address }?.let { targetOf(it) } ?: TargetId("")

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
