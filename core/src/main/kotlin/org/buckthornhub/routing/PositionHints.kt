package org.buckthornhub.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/**
 * Positions of primaries and replicas, as learned from answers and announcements. Routing uses hints only to choose a
 * target; the owner of the target checks its position before it answers, so that a wrong hint costs time but never
 * leads to a stale read.
 *
 * @property samples observed positions of the primary of each group, oldest first
 */
public data class PositionHints(
    val samples: PersistentMap<GroupId, PersistentList<PositionSample>> = persistentMapOf(),
    val replicas: PersistentMap<TargetId, ReplicaHint> = persistentMapOf(),
) {
    /** Returns when [position] of [group], or a later one of the same term, was first observed; null if none was. */
    public fun firstObservedMillis(group: GroupId, position: Position): Long? =
        samples[group]?.firstOrNull { it.position.term == position.term && it.position.index >= position.index }?.atMillis

    /** Returns these hints after the primary of [group] was observed at [position] at [nowMillis]. */
    public fun withPrimaryPosition(group: GroupId, position: Position, nowMillis: Long): PositionHints {
        val known = samples[group] ?: persistentListOf()
        val last = known.lastOrNull()
        if (last != null && !isAfter(position, last.position)) return this
        val bounded = if (known.size >= MAX_SAMPLES) known.removeAt(0) else known
        return copy(samples = samples.put(group, bounded.add(PositionSample(position, nowMillis))))
    }

    /** Returns these hints after the replica [target] was observed to have applied [applied] at [nowMillis]. */
    public fun withReplicaPosition(group: GroupId, target: TargetId, applied: Position, nowMillis: Long): PositionHints {
        val old = replicas[target]
        val newest = if (old == null || isAfter(applied, old.applied)) applied else old.applied
        val lag = lagMillis(group, applied, nowMillis)
        val average = if (old == null) lag else old.lagMillis + (lag - old.lagMillis) / LAG_AVERAGE_SAMPLES
        return copy(replicas = replicas.put(target, ReplicaHint(newest, average)))
    }

    // The first sample beyond the applied position marks the time since when the replica has lagged.
    private fun lagMillis(group: GroupId, applied: Position, nowMillis: Long): Double {
        val missed = samples[group]?.firstOrNull { isAfter(it.position, applied) } ?: return 0.0
        return (nowMillis - missed.atMillis).coerceAtLeast(0).toDouble()
    }

    private fun isAfter(later: Position, earlier: Position): Boolean =
        later.term > earlier.term || later.term == earlier.term && later.index > earlier.index

    private companion object {
        const val MAX_SAMPLES = 128
        const val LAG_AVERAGE_SAMPLES = 8
    }
}
