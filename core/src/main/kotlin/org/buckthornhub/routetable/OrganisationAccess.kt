package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.BucketRate

/**
 * Keys, rate limit and priority of an organisation.
 *
 * @property ratePerSecond sustained rate limit, in operations per second over the whole fleet
 * @property burst capacity of the token bucket: operations that may arrive at once
 */
@Serializable
public data class OrganisationAccess(
    val organisation: OrganisationId,
    val keys: Set<KeyDigest>,
    val ratePerSecond: Double,
    val burst: Double,
    val priority: Int = 0,
) {
    /** Rate limit of the organisation over the whole fleet. */
    public val limit: BucketRate get() = BucketRate(ratePerSecond, burst)
}
