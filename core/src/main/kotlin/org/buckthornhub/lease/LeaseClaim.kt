package org.buckthornhub.lease

import kotlinx.serialization.Serializable

/** Asks for a lease; [held] says that the holder still counted on it when it sent the request. */
@Serializable
public data class LeaseClaim(
    val lease: GroupTerm,
    val held: Boolean,
)
