package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Open connection to an instance.
 *
 * @property usedMillis time of the last request
 * @property pending commands of the open transaction; null outside one
 */
public data class Connection(
    val number: Long,
    val usedMillis: Long,
    val pending: PersistentList<Command>? = null,
) {
    public val id: String get() = "c$number"

    public val isInTransaction: Boolean get() = pending != null

    /** Returns this connection with an open transaction. */
    public fun withTransaction(): Connection = copy(pending = persistentListOf())
}
