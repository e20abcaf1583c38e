package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * The control leader's reply to a [ShareRequest].
 *
 * @property partsPerMillion granted shares, leased for [leaseMillis] from before the daemon sent its request
 * @property unleasedMillis for how long a newly leased share was not leased before, in ms of the leader's clock; it refilled
 *   during that time
 */
@Serializable
public data class ShareReply(
    val controlTerm: Long,
    val leaseMillis: Long,
    val partsPerMillion: Map<OrganisationId, Int>,
    @SerialName("unheldMillis") val unleasedMillis: Map<OrganisationId, Long> = emptyMap(),
)
