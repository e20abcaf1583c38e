package org.buckthornhub.instancepool

/**
 * A connection request that waits in the pool.
 *
 * @property ticket id of the request in this pool
 * @property sinceMillis local monotonic time at which the wait began
 * @property deadlineMillis local monotonic time at which the request is refused
 * @property hasBegun whether it belongs to a transaction that has begun, so that a refusal discards the whole transaction
 * @property maxReturnMillis longest time in ms after which the caller can use a further attempt
 * @property estimatedMillis estimated wait on arrival in ms; null if there was no estimate
 */
public data class PendingConnectionRequest(
    val ticket: Long,
    val request: ConnectionRequest,
    val sinceMillis: Long,
    val deadlineMillis: Long,
    val hasBegun: Boolean = false,
    val maxReturnMillis: Long = DEFAULT_MAX_RETURN_MILLIS,
    val estimatedMillis: Long? = null,
) {
    private companion object {
        /** For the daemon's own statements, whose callers ignore the time of return. */
        const val DEFAULT_MAX_RETURN_MILLIS = 1_000L
    }
}
