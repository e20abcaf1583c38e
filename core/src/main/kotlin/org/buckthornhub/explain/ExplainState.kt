package org.buckthornhub.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The newest request records, by span id, and the newest events.
 *
 * @property order span ids by their sequence number, from [oldest] up to [next]
 */
public data class ExplainState(
    val records: PersistentMap<String, RequestRecord> = persistentMapOf(),
    val order: PersistentMap<Long, String> = persistentMapOf(),
    val oldest: Long = 0,
    val next: Long = 0,
    val events: PersistentList<ExplainEvent> = persistentListOf(),
)
