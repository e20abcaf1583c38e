package org.buckthornhub.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId

/**
 * Instances that have announced themselves.
 *
 * @property ended start time of the newest incarnation of each id that has left; its late announcements are dropped
 */
public data class InstanceDirectory(
    val records: PersistentMap<TargetId, InstanceRecord> = persistentMapOf(),
    val ended: PersistentMap<TargetId, Long> = persistentMapOf(),
) {
    /** Adds [record] unless a newer announcement is known for its id or a newer instance for its address. */
    public fun with(record: InstanceRecord): InstanceDirectory {
        val known = records[record.target]
        val isEnded = ended[record.target]?.let { record.startedWallMillis <= it } ?: false
        if (isEnded || known != null && !record.isNewerThan(known)) return this
        val others = records.values.filter { it.address == record.address && it.target != record.target }
        if (others.any { it.startedWallMillis > record.startedWallMillis }) return this
        val kept = others.fold(records) { map, other -> map.remove(other.target) }
        return copy(records = kept.put(record.target, record))
    }

    /** Removes [target]; announcements of the same incarnation that arrive later are dropped. */
    public fun without(target: TargetId): InstanceDirectory {
        val known = records[target] ?: return this
        return InstanceDirectory(records.remove(target), ended.put(target, known.startedWallMillis))
    }

    /** Merges in the records and ended incarnations that another daemon has. */
    public fun merged(others: Collection<InstanceRecord>, othersEnded: Map<TargetId, Long>): InstanceDirectory {
        val newlyEnded = othersEnded.filter { (target, started) -> started > (ended[target] ?: Long.MIN_VALUE) }
        val endedRecords = records.values.filter { record -> newlyEnded[record.target]?.let { record.startedWallMillis <= it } ?: false }
        val pruned = InstanceDirectory(endedRecords.fold(records) { map, record -> map.remove(record.target) }, ended.putAll(newlyEnded))
        return others.fold(pruned) { directory, record -> directory.with(record) }
    }
}
