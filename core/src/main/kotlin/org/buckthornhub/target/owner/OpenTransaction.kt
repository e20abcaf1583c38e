package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.organisation.OrganisationId

/**
 * A transaction and the connection that it is pinned to.
 *
 * @property running ticket of the call that runs on the connection
 * @property waiting tickets of later calls of the same transaction
 */
public data class OpenTransaction(
    val organisation: OrganisationId?,
    val slot: Int,
    val beganMillis: Long,
    val usedMillis: Long,
    val running: Long? = null,
    val waiting: PersistentList<Long> = persistentListOf(),
)
