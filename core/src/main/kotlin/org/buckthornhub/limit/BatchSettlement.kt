package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Ends a batch: [returned] comes back unspent, the rest was spent. A repeat changes nothing. */
@Serializable
public data class BatchSettlement(
    val organisation: OrganisationId,
    val batch: BatchId,
    val returned: TokenAmount,
)
