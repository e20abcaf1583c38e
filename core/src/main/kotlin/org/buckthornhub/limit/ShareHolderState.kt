package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Shares that this daemon holds for its zone.
 *
 * @property epoch random at each start of the daemon; see [BatchId]
 */
public data class ShareHolderState(
    val epoch: Long,
    val nextSequence: Long = 0,
    val shares: PersistentMap<OrganisationId, HeldShare> = persistentMapOf(),
)
