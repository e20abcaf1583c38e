package org.buckthornhub.target.owner

import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** How far one instance of a group has come, by its own word. */
public data class InstanceProgress(
    val target: TargetId,
    val role: TargetRole,
    val term: Term,
    val received: LogPosition,
    val applied: LogPosition,
)
