package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/** Request to relay the probe [body] to the daemon at [address] and to return its reply. */
@Serializable
internal data class RelayBody(
    val address: String,
    val body: GossipBody,
)
