package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * All share leases granted by this control leader in [controlTerm].
 *
 * @property unleasedSinceMillis time from which on a share without a known lease is certain to have been unleased
 * @property newGrantsFromMillis earliest time at which unclaimed shares may be granted to new holders
 */
public data class ShareLedger(
    val controlTerm: Long = 0,
    val newGrantsFromMillis: Long = 0,
    val unleasedSinceMillis: Long = newGrantsFromMillis,
    val shares: PersistentMap<OrganisationId, OrganisationShares> = persistentMapOf(),
)
