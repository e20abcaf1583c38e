package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/**
 * The control leader's answer to a [ShareRequest].
 *
 * @property partsPerMillion parts granted for one lease, counted by the daemon from before its request
 */
@Serializable
public data class ShareReply(
    val controlTerm: Long,
    val leaseMillis: Long,
    val partsPerMillion: Map<OrganisationId, Int>,
)
