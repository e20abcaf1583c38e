package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/** State of one daemon's rate limiter, by organisation. */
public data class RateLimiterState(val limiters: PersistentMap<OrganisationId, OrganisationLimiter> = persistentMapOf()) {
    /** Recent demand at this daemon. */
    public val demand: DemandReport
        get() = DemandReport(limiters.filterValues { it.perSecond > 0 }.mapValues { it.value.perSecond })
}
