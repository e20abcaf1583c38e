package org.buckthornhub.routing

/**
 * Counts of the reads in a trace.
 *
 * @property byReplica reads that a replica served
 * @property byOracle reads that a policy with exact positions could have sent to a replica
 * @property stale reads that returned older data than their session required
 */
internal data class ReplicaShareResult(
    val reads: Int = 0,
    val byReplica: Int = 0,
    val byOracle: Int = 0,
    val stale: Int = 0,
    val waitedMillis: Long = 0,
)
