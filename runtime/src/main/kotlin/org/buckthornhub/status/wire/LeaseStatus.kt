package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/** A lease that the daemon counts on for another [leftMillis]. */
@Serializable
public data class LeaseStatus(
    val group: GroupId,
    val term: Term,
    val leftMillis: Long,
    val isDraining: Boolean,
)
