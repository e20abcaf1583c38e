package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.organisation.OrganisationId

/**
 * An open transaction and the connection that it is pinned to.
 *
 * @property running ticket of the call that is running on the connection; null if there is none
 * @property waiting tickets of the transaction's later calls, in their order
 */
public data class OpenTransaction(
    val organisation: OrganisationId?,
    val slot: Int,
    val startedMillis: Long,
    val lastUsedMillis: Long,
    val running: Long? = null,
    val waiting: PersistentList<Long> = persistentListOf(),
)
