package org.buckthornhub.instancepool

/**
 * @property sinceMillis when the wait began (local monotonic ms)
 * @property deadlineMillis when it is given up
 */
public data class WaitingWant(
    val token: Long,
    val want: ConnectionWant,
    val sinceMillis: Long,
    val deadlineMillis: Long,
)
