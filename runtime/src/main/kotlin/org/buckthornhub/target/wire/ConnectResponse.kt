package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** Id of a connection opened at a target; the connection occupies one slot until it is closed. */
@Serializable
public data class ConnectResponse(val connection: String)
