package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** Record of an issued key. Withdrawn records are kept, so that an older state can't make the key valid again. */
@Serializable
public data class KeyRecord(
    val keyName: String,
    val organisation: OrganisationId,
    val withdrawn: Boolean = false,
)
