package org.buckthornhub.standin.instance

/** Entries that are still on their way until [dueMillis]. */
public data class Arrival(
    val dueMillis: Long,
    val message: InstanceMessage.Replicate,
)
