package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.target.TargetId

/**
 * An open connection of the pool and its session state on the target.
 *
 * @property idleSinceMillis time since which it has not been in use (local monotonic ms)
 */
public data class PoolConnection(
    val id: ConnectionId,
    val target: TargetId,
    val state: TargetConnectionState,
    val idleSinceMillis: Long = 0,
)
