package org.buckthornhub.routing

import org.buckthornhub.group.Position

/**
 * Observed state of one replica.
 *
 * @property applied newest position that the replica is known to have applied
 * @property lagMillis exponential moving average of its replication lag in ms
 */
public data class ReplicaHint(
    val applied: Position,
    val lagMillis: Double,
)
