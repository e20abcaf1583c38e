package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Calls of one organisation in order of arrival.
 *
 * @property deficitMillis connection time in ms that the organisation may still use
 */
internal data class OrganisationQueue(
    val calls: PersistentList<QueuedCall> = persistentListOf(),
    val deficitMillis: Double = 0.0,
)
