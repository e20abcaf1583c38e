package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** Names a connection that a target has opened; it occupies one slot until it is closed. */
@Serializable
public data class ConnectResponse(val connection: String)
