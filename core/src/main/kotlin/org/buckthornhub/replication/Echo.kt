package org.buckthornhub.replication

/** A monotonic time of a follower, which it gets back from the leader; it means something to [run] of that follower alone. */
public data class Echo(
    val run: RunId,
    val millis: Long,
)
