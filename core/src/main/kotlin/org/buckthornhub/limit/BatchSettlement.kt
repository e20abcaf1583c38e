package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Settles a batch: [returned] tokens come back unspent, the rest was spent. Idempotent. */
@Serializable
public data class BatchSettlement(
    val organisation: OrganisationId,
    val batch: BatchId,
    val returned: TokenAmount,
)
