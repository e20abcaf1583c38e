package org.buckthornhub.instancepool

/**
 * A connection request that waits in the pool.
 *
 * @property token id of the request in this pool
 * @property sinceMillis local monotonic time at which the wait began
 * @property deadlineMillis local monotonic time at which the request is refused
 */
public data class WaitingWant(
    val token: Long,
    val want: ConnectionWant,
    val sinceMillis: Long,
    val deadlineMillis: Long,
)
