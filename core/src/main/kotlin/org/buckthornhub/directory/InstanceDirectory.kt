package org.buckthornhub.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId

/**
 * The instances that announced themselves.
 *
 * @property ended birth of the newest life of each id that said goodbye; late announcements of it are dropped
 */
public data class InstanceDirectory(
    val records: PersistentMap<TargetId, InstanceRecord> = persistentMapOf(),
    val ended: PersistentMap<TargetId, Long> = persistentMapOf(),
) {
    /** Takes in [record] unless something newer is known of its id or its address. */
    public fun with(record: InstanceRecord): InstanceDirectory {
        val known = records[record.target]
        val isEnded = ended[record.target]?.let { record.bornMillis <= it } ?: false
        if (isEnded || known != null && !record.isNewerThan(known)) return this
        val others = records.values.filter { it.address == record.address && it.target != record.target }
        if (others.any { it.bornMillis > record.bornMillis }) return this
        val kept = others.fold(records) { map, other -> map.remove(other.target) }
        return copy(records = kept.put(record.target, record))
    }

    /** Drops [target]; what it announced before and that still comes in stays dropped. */
    public fun without(target: TargetId): InstanceDirectory {
        val known = records[target] ?: return this
        return InstanceDirectory(records.remove(target), ended.put(target, known.bornMillis))
    }

    /** Takes in all that another daemon knows. */
    public fun merged(others: Collection<InstanceRecord>, othersEnded: Map<TargetId, Long>): InstanceDirectory {
        val ends = othersEnded.filter { (target, born) -> born > (ended[target] ?: Long.MIN_VALUE) }
        val living = records.values.filter { record -> ends[record.target]?.let { record.bornMillis <= it } ?: false }
        val pruned = InstanceDirectory(living.fold(records) { map, record -> map.remove(record.target) }, ended.putAll(ends))
        return others.fold(pruned) { directory, record -> directory.with(record) }
    }
}
