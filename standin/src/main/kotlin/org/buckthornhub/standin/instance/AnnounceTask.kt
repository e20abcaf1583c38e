package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Tells the daemons at [addresses] about one instance, again and again; it owns the links to them. */
public class AnnounceTask(
    name: String,
    addresses: List<String>,
    links: HttpLink.Factory,
    private val announcement: () -> Announcement,
) : Task<AnnounceTask.Tick>(name, capacity = 1) {
    private val daemons: PersistentList<HttpLink> = addresses.map { links.open(it) }.toPersistentList()

    /** Time to announce. */
    public data object Tick

    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, PERIOD_MILLIS, Tick)
    }

    override suspend fun handle(message: Tick) {
        val body = PeerJson.encodeToString(Announcement.serializer(), announcement())
        coroutineScope {
            daemons.forEach { launch { it.post("/targets/announce", body, TIMEOUT_MILLIS) } }
        }
    }

    override fun onEnd() {
        daemons.forEach { it.close() }
    }

    private companion object {
        const val PERIOD_MILLIS = 200L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
