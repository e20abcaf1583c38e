package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * The calls of one organisation, in the order in which they came.
 *
 * @property deficitMillis connection time that it may still use in this round
 */
internal data class OrganisationQueue(
    val calls: PersistentList<QueuedCall> = persistentListOf(),
    val deficitMillis: Double = 0.0,
)
