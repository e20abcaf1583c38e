package org.buckthornhub.repeat

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The requests that may not be repeated and have reached this owner, in two generations: an entry stays for at least
 * [HORIZON_MILLIS], unless more than [MAX_ENTRIES] come in that time. Requests older than that are known to the target.
 */
public data class RequestLedger(
    private val young: PersistentMap<RequestKey, LedgerEntry> = persistentMapOf(),
    private val old: PersistentMap<RequestKey, LedgerEntry> = persistentMapOf(),
    private val youngSinceMillis: Long = 0,
) {
    public val size: Int get() = young.size + old.size

    public operator fun get(key: RequestKey): LedgerEntry? = young[key] ?: old[key]

    public fun put(key: RequestKey, entry: LedgerEntry): RequestLedger = copy(young = young.put(key, entry), old = old.remove(key))

    public fun remove(key: RequestKey): RequestLedger = copy(young = young.remove(key), old = old.remove(key))

    /** Forgets the older generation once the younger one is full or old enough. */
    public fun aged(nowMillis: Long): RequestLedger {
        val isDue = nowMillis - youngSinceMillis >= HORIZON_MILLIS || young.size >= MAX_ENTRIES
        return if (isDue) RequestLedger(young = persistentMapOf(), old = young, youngSinceMillis = nowMillis) else this
    }

    public companion object {
        public const val HORIZON_MILLIS: Long = 600_000
        public const val MAX_ENTRIES: Int = 50_000
    }
}
