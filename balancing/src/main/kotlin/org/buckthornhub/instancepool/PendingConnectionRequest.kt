package org.buckthornhub.instancepool

/**
 * A connection request that waits in the pool.
 *
 * @property ticket id of the request in this pool
 * @property sinceMillis local monotonic time at which the wait began
 * @property deadlineMillis local monotonic time at which the request is refused
 */
public data class PendingConnectionRequest(
    val ticket: Long,
    val request: ConnectionRequest,
    val sinceMillis: Long,
    val deadlineMillis: Long,
)
