package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Periodically announces one instance to the daemons, and owns the links to them. */
internal class AnnounceTask(
    name: String,
    daemons: PersistentList<DaemonAddress>,
    links: HttpLink.Factory,
    private val announcement: () -> Announcement,
    private val delayMillisTo: (ZoneId?) -> Long?,
) : Task<AnnounceTask.Tick>(name, capacity = 1) {
    private val daemonLinks: PersistentMap<DaemonAddress, HttpLink> =
        daemons.associateWith { links.open(it.address) }.toPersistentMap()
    private lateinit var scope: CoroutineScope

    /** Triggers the next announcement. */
    data object Tick

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, PERIOD_MILLIS, Tick)
    }

    override suspend fun handle(message: Tick) {
        val body = PeerJson.encodeToString(Announcement.serializer(), announcement())
        daemonLinks.forEach { (daemon, link) ->
            val delayMillis = delayMillisTo(daemon.zone) ?: return@forEach
            // Concurrent, so that a daemon that does not answer does not delay the announcements to the others.
            scope.launch {
                delay(delayMillis)
                link.post("/targets/announce", body, TIMEOUT_MILLIS)
            }
        }
    }

    override fun onEnd() {
        daemonLinks.values.forEach { it.close() }
    }

    private companion object {
        const val PERIOD_MILLIS = 200L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
