package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * State of one daemon's rate limiter, by organisation.
 *
 * @property expiredTokens tokens of the reserve that expired here unused since the start
 */
public data class RateLimiterState(
    val limiters: PersistentMap<OrganisationId, OrganisationLimiter> = persistentMapOf(),
    val expiredTokens: Long = 0,
) {
    /** Recent demand at this daemon. */
    public val demand: DemandReport
        get() = DemandReport(limiters.filterValues { it.perSecond > 0 }.mapValues { it.value.perSecond })
}
