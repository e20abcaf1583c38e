package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/** Asks a daemon to pass [body] to the daemon at [address] and to answer what that one answers. */
@Serializable
internal data class RelayBody(
    val address: String,
    val body: GossipBody,
)
