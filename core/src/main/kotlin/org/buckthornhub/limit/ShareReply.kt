package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * The control leader's answer to a [ShareRequest].
 *
 * @property partsPerMillion parts granted for one lease, counted by the daemon from before its request
 * @property unheldMillis for how long a new share was in nobody's hands, in ms of the leader's clock; it minted all that time
 */
@Serializable
public data class ShareReply(
    val controlTerm: Long,
    val leaseMillis: Long,
    val partsPerMillion: Map<OrganisationId, Int>,
    val unheldMillis: Map<OrganisationId, Long> = emptyMap(),
)
