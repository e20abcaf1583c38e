package org.buckthornhub.instancepool.waiting

/** Moving average of hold times, and when it was last updated (local monotonic ms). */
public data class UsualHold(
    val millis: Double,
    val updatedMillis: Long,
)
