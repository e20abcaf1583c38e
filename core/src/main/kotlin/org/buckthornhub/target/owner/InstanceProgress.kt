package org.buckthornhub.target.owner

import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Replication progress that an instance of a group reports for itself. */
public data class InstanceProgress(
    val target: TargetId,
    val role: TargetRole,
    val term: Term,
    val received: LogPosition,
    val applied: LogPosition,
)
