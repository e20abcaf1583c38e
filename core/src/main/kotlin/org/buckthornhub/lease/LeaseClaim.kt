package org.buckthornhub.lease

import kotlinx.serialization.Serializable

/** Request for a lease; [held] is true if the holder still had a valid lease when it sent the request. */
@Serializable
public data class LeaseClaim(
    val lease: GroupTerm,
    val held: Boolean,
)
