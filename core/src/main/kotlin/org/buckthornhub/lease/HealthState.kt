package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId

/**
 * The targets that this daemon owns, as its own probes find them.
 *
 * @property answeredMillis when each target last answered, or came to this owner
 */
public data class HealthState(
    val targets: PersistentMap<TargetId, TargetEntry> = persistentMapOf(),
    val answeredMillis: PersistentMap<TargetId, Long> = persistentMapOf(),
) {
    /** What the control leader has to know. */
    public fun reports(nowMillis: Long, settings: HealthSettings): List<TargetReport> = targets.values.map { entry ->
        TargetReport(
            target = entry.target,
            group = entry.group,
            address = entry.address,
            role = entry.role,
            term = entry.term,
            received = entry.received,
            reachable = nowMillis - answeredMillis.getValue(entry.target) < settings.detectMillis,
            leaving = entry.leaving,
        )
    }
}
