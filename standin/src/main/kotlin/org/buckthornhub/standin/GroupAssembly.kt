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
import org.buckthornhub.standin.instance.InstanceRoutes
import org.buckthornhub.standin.instance.InstanceState
import org.buckthornhub.standin.instance.InstanceTask
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.Announcement

/** Builds and starts the instances of one group in this process. */
internal class GroupAssembly(private val options: StandinOptions) {
    private val zones = options.zones.split(',')
    private val tasks: PersistentList<InstanceTask> by lazy { zones.indices.map { newTask(it) }.toPersistentList() }

    fun start(scope: CoroutineScope) {
        tasks.forEach { it.start(scope) }
        zones.indices.forEach { index ->
            val announcement = { announcementOf(index) }
            val routes = InstanceRoutes(tasks[index], options.connectMillis, announcement).routes()
            HttpServer(HOST, options.port + index, routes).start()
            AnnounceTask("announce-$index", options.announce.split(','), HttpLinks, announcement).start(scope)
        }
    }

    private fun newTask(index: Int): InstanceTask {
        val role = if (index == 0) TargetRole.PRIMARY else TargetRole.REPLICA
        val initial = InstanceState(role = role, term = Term(1), slots = options.slots)
        return InstanceTask(targetOf(index).value, initial, SystemClock) { tasks.removeAt(index) }
    }

    private fun targetOf(index: Int) = TargetId("${options.group}-${index + 1}")

    private fun announcementOf(index: Int): Announcement {
        val state = tasks[index].current()
        return Announcement(
            target = targetOf(index),
            group = GroupId(options.group),
            zone = ZoneId(zones[index]),
            address = "$HOST:${options.port + index}",
            role = state.role,
            term = state.term,
            received = state.received,
            applied = state.applied,
            slots = state.slots,
            leaving = state.leaving,
        )
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
