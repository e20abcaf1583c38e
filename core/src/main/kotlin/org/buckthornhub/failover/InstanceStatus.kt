package org.buckthornhub.failover

import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetRole

/**
 * Status that an instance reports about itself.
 *
 * @property received newest position that it has received, applied or not
 * @property isComplete false if the instance was too busy to report, so that [received] is only the position that it has applied, and
 * it may have received more
 */
public data class InstanceStatus(
    val role: TargetRole,
    val received: Position,
    val isComplete: Boolean = true,
)
