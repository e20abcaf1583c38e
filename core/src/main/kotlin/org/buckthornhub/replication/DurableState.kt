package org.buckthornhub.replication

/** What a member has to find again after a restart: it is synced before anything that depends on it leaves. */
public data class DurableState(
    val term: Long = 0,
    val votedFor: Member? = null,
    val log: ReplicatedLog = ReplicatedLog(),
)
