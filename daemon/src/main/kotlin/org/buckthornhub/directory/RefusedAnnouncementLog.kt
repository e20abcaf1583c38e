package org.buckthornhub.directory

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.getAndUpdate
import org.buckthornhub.clock.Clock

/** Logs announcements that are not used, at most one line per [INTERVAL_MILLIS]: another writer may repeat one at any rate. */
public class RefusedAnnouncementLog(private val clock: Clock) {
    private val state = MutableStateFlow(RefusalLogState())

    /** Records that the announcement of the instance [id] is not used, for [reason]. */
    public fun record(id: String, reason: String) {
        val nowMillis = clock.nowMillis()
        val before = state.getAndUpdate { it.next(nowMillis, INTERVAL_MILLIS) }
        if (!before.isLineDue(nowMillis, INTERVAL_MILLIS)) return
        logger.warn {
            "announcement of instance ${id.take(MAX_CHARS)} refused: ${reason.take(MAX_CHARS)}; ${before.omitted} others not logged"
        }
    }

    private companion object {
        const val INTERVAL_MILLIS = 10_000L
        const val MAX_CHARS = 200
        val logger = KotlinLogging.logger {}
    }
}
