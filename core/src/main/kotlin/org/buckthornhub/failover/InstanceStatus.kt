package org.buckthornhub.failover

import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetRole

/** What an instance answers about itself. @property received newest position that it holds, applied or not */
public data class InstanceStatus(
    val role: TargetRole,
    val received: Position,
)
