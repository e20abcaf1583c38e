package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.control.ChangeId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId

/** A new key. Only its digest leaves the operators' tool, so a resend names the same key. */
@Serializable
public data class GiveKeyBody(
    val changeId: ChangeId,
    val keyName: String,
    val organisation: OrganisationId,
    val digest: KeyDigest,
)
