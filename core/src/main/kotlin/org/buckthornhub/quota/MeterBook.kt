package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/** State of one daemon's rate limiter, by organisation. */
public data class MeterBook(val meters: PersistentMap<OrganisationId, OrganisationLimiter> = persistentMapOf()) {
    /** Recent demand at this daemon. */
    public val demand: DemandReport
        get() = DemandReport(meters.filterValues { it.perSecond > 0 }.mapValues { it.value.perSecond })
}
