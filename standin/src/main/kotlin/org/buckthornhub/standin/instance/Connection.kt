package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * An open connection.
 *
 * @property usedMillis when the last request came on it
 * @property pending commands of the open transaction; null outside one
 */
public data class Connection(
    val number: Long,
    val usedMillis: Long,
    val pending: PersistentList<Command>? = null,
) {
    public val id: String get() = "c$number"

    public val isInTransaction: Boolean get() = pending != null

    /** This connection with a transaction open. */
    public fun begun(): Connection = copy(pending = persistentListOf())
}
