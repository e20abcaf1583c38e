package org.buckthornhub.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/**
 * What a router has learned of positions from answers and announcements. Hints choose where to ask; the owner of the
 * target decides whether it may answer, so that a wrong hint costs time and never a wrong answer.
 */
public data class PositionHints(
    val samples: PersistentMap<GroupId, PersistentList<PositionSample>> = persistentMapOf(),
    val replicas: PersistentMap<TargetId, ReplicaHint> = persistentMapOf(),
) {
    /** When [position] of [group] was first heard of; null if it is news. */
    public fun firstHeardMillis(group: GroupId, position: Position): Long? =
        samples[group]?.firstOrNull { it.position.term == position.term && it.position.index >= position.index }?.atMillis

    /** This, after [position] of [group] was heard of at [nowMillis]. */
    public fun heard(group: GroupId, position: Position, nowMillis: Long): PositionHints {
        val known = samples[group] ?: persistentListOf()
        val last = known.lastOrNull()
        if (last != null && !isAfter(position, last.position)) return this
        val bounded = if (known.size >= MAX_SAMPLES) known.removeAt(0) else known
        return copy(samples = samples.put(group, bounded.add(PositionSample(position, nowMillis))))
    }

    /** This, after [target] was seen to have applied [applied] at [nowMillis]. */
    public fun seen(group: GroupId, target: TargetId, applied: Position, nowMillis: Long): PositionHints {
        val old = replicas[target]
        val newest = if (old == null || isAfter(applied, old.applied)) applied else old.applied
        val lag = lagMillis(group, applied, nowMillis)
        val average = if (old == null) lag else old.lagMillis + (lag - old.lagMillis) / LAG_SAMPLES
        return copy(replicas = replicas.put(target, ReplicaHint(newest, average)))
    }

    // The first sample beyond what the replica has tells since when it trails.
    private fun lagMillis(group: GroupId, applied: Position, nowMillis: Long): Double {
        val missed = samples[group]?.firstOrNull { isAfter(it.position, applied) } ?: return 0.0
        return (nowMillis - missed.atMillis).coerceAtLeast(0).toDouble()
    }

    private fun isAfter(later: Position, earlier: Position): Boolean =
        later.term > earlier.term || later.term == earlier.term && later.index > earlier.index

    private companion object {
        const val MAX_SAMPLES = 128
        const val LAG_SAMPLES = 8
    }
}
