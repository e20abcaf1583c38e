package org.buckthornhub.limit

/** A request that waits for a token from [sinceMillis] until [untilMillis], local monotonic time. */
public data class WaitingAdmission(
    val ticket: Long,
    val sinceMillis: Long,
    val untilMillis: Long,
)
