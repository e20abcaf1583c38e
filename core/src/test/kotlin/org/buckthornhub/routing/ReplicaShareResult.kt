package org.buckthornhub.routing

/** Reads of a trace: how many replicas served, how many an oracle could have had served, and how many were wrong. */
internal data class ReplicaShareResult(
    val reads: Int = 0,
    val byReplica: Int = 0,
    val byOracle: Int = 0,
    val stale: Int = 0,
    val waitedMillis: Long = 0,
)
