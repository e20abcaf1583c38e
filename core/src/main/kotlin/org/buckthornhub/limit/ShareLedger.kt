package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Every lease of a share that this control leader granted in [controlTerm].
 *
 * @property unheldSinceMillis time since which shares of which this leader knows nothing were surely not in use
 * @property freeFromMillis time from which shares that nobody claimed may go to new holders
 */
public data class ShareLedger(
    val controlTerm: Long = 0,
    val freeFromMillis: Long = 0,
    val unheldSinceMillis: Long = freeFromMillis,
    val shares: PersistentMap<OrganisationId, OrganisationShares> = persistentMapOf(),
)
