package org.buckthornhub.failover

import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetRole

/**
 * Status that an instance reports about itself.
 *
 * @property received newest position that it has received, applied or not
 */
public data class InstanceStatus(
    val role: TargetRole,
    val received: Position,
)
