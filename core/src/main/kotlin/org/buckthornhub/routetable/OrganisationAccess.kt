package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.BucketRate

/**
 * Who an organisation is known by, and how much it may ask for.
 *
 * @property ratePerSecond operations a second over the whole fleet
 * @property burst operations that may come at once
 */
@Serializable
public data class OrganisationAccess(
    val organisation: OrganisationId,
    val keys: Set<KeyDigest>,
    val ratePerSecond: Double,
    val burst: Double,
    val priority: Int = 0,
) {
    /** What the whole fleet may let through. */
    public val limit: BucketRate get() = BucketRate(ratePerSecond, burst)
}
