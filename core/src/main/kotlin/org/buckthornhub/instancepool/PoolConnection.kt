package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.target.TargetId

/** An open connection of the pool and its session state on the target. */
public data class PoolConnection(
    val id: ConnectionId,
    val target: TargetId,
    val state: TargetConnectionState,
)
