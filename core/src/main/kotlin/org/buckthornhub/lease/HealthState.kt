package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId

/**
 * State of the targets that this daemon owns, according to its own probes.
 *
 * @property lastAnswerMillis when each target last answered, or when this daemon came to own it
 */
public data class HealthState(
    val targets: PersistentMap<TargetId, TargetEntry> = persistentMapOf(),
    val lastAnswerMillis: PersistentMap<TargetId, Long> = persistentMapOf(),
) {
    /** Returns the reports for the control leader. */
    public fun reports(nowMillis: Long, settings: HealthSettings): List<TargetReport> = targets.values.map { entry ->
        TargetReport(
            target = entry.target,
            group = entry.group,
            address = entry.address,
            role = entry.role,
            term = entry.term,
            received = entry.received,
            reachable = nowMillis - lastAnswerMillis.getValue(entry.target) < settings.detectMillis,
            leaving = entry.leaving,
        )
    }
}
