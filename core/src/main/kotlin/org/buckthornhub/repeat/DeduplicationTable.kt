package org.buckthornhub.repeat

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Deduplication table of the owner of a target, for the requests that must not run twice.
 *
 * It has two generations: an entry is kept for at least [MIN_RETENTION_MILLIS], unless more than [MAX_ENTRIES] arrive in
 * that time. Older requests are known to the target.
 */
public data class DeduplicationTable(
    private val current: PersistentMap<RequestKey, DeduplicationEntry> = persistentMapOf(),
    private val previous: PersistentMap<RequestKey, DeduplicationEntry> = persistentMapOf(),
    private val currentSinceMillis: Long = 0,
) {
    public val size: Int get() = current.size + previous.size

    public operator fun get(key: RequestKey): DeduplicationEntry? = current[key] ?: previous[key]

    public fun put(key: RequestKey, entry: DeduplicationEntry): DeduplicationTable =
        copy(current = current.put(key, entry), previous = previous.remove(key))

    public fun remove(key: RequestKey): DeduplicationTable = copy(current = current.remove(key), previous = previous.remove(key))

    /** Drops the previous generation once the current one has reached its maximum size or age. */
    public fun rotated(nowMillis: Long): DeduplicationTable {
        val isDue = nowMillis - currentSinceMillis >= MIN_RETENTION_MILLIS || current.size >= MAX_ENTRIES
        return if (isDue) DeduplicationTable(current = persistentMapOf(), previous = current, currentSinceMillis = nowMillis) else this
    }

    public companion object {
        public const val MIN_RETENTION_MILLIS: Long = 600_000
        public const val MAX_ENTRIES: Int = 50_000
    }
}
