package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.control.ChangeId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId

/** Issues a new API key. Only the digest leaves the operator's tool, and a retransmission refers to the same key. */
@Serializable
public data class GiveKeyBody(
    val changeId: ChangeId,
    val keyName: String,
    val organisation: OrganisationId,
    val digest: KeyDigest,
)
