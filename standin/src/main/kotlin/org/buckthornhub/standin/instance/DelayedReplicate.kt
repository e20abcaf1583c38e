package org.buckthornhub.standin.instance

/** Replication message in transit that is delivered at [dueMillis]. */
public data class DelayedReplicate(
    val dueMillis: Long,
    val message: InstanceMessage.Replicate,
)
