package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentMap
import org.buckthornhub.statement.TransactionId

/** These pins but for the one of [connection]. */
internal fun PersistentMap<TransactionId, String>.without(connection: String?): PersistentMap<TransactionId, String> {
    val transaction = entries.firstOrNull { it.value == connection }?.key ?: return this
    return remove(transaction)
}
