package org.buckthornhub.instancepool

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/** Logs refusals: the first of a group at once, then at most one line per group and [PERIOD_MILLIS]. */
internal class RefusalLog {
    private var groups: PersistentMap<GroupId, LoggedRefusals> = persistentMapOf()

    fun refused(group: GroupId, refusal: PoolEffect.Refuse, nowMillis: Long) {
        val known = groups[group] ?: LoggedRefusals(nowMillis - PERIOD_MILLIS)
        val label = WaitObserver.labelOf(refusal.reason)
        val counts = known.counts.put(label, (known.counts[label] ?: 0) + 1)
        val isDue = nowMillis - known.loggedMillis >= PERIOD_MILLIS
        groups = groups.put(group, if (isDue) LoggedRefusals(nowMillis) else known.copy(counts = counts))
        if (!isDue) return
        logger.info {
            "statements of group $group refused since the last such line: $counts; the last had an estimated wait of " +
                "${refusal.estimatedMillis ?: "unknown"} ms and returns after ${refusal.retryAfterMillis ?: "a fixed number of"} ms"
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 5_000L
        val logger = KotlinLogging.logger {}
    }
}
