package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.statement.TransactionId

/**
 * The connections to one target and the calls that wait for one.
 *
 * @property open connections that exist or are being opened
 */
internal data class TargetState(
    val idle: PersistentList<String> = persistentListOf(),
    val open: Int = 0,
    val pinned: PersistentMap<TransactionId, String> = persistentMapOf(),
    val waiting: PersistentList<TargetMessage.Run> = persistentListOf(),
)
