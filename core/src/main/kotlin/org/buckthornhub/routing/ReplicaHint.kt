package org.buckthornhub.routing

import org.buckthornhub.group.Position

/**
 * What a router has learned of one replica.
 *
 * @property applied newest position that it is known to have applied
 * @property lagMillis moving average of how long it trails the primary
 */
public data class ReplicaHint(
    val applied: Position,
    val lagMillis: Double,
)
