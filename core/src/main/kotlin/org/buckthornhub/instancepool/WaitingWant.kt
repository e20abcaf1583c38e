package org.buckthornhub.instancepool

/** @property deadlineMillis when the wait is given up (local monotonic ms) */
public data class WaitingWant(
    val token: Long,
    val want: ConnectionWant,
    val deadlineMillis: Long,
)
