package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** A key that was given. A withdrawn record stays, so that an older state can't bring the key back. */
@Serializable
public data class KeyRecord(
    val keyName: String,
    val organisation: OrganisationId,
    val withdrawn: Boolean = false,
)
