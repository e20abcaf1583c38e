package org.buckthornhub.replication

/** State of a member that survives a restart. It is synced before any message that depends on it is sent. */
public data class DurableState(
    val term: Long = 0,
    val votedFor: Member? = null,
    val log: ReplicatedLog = ReplicatedLog(),
)
