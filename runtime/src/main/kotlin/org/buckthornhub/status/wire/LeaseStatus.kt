package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/** A lease held by the daemon, valid for another [leftMillis]. */
@Serializable
public data class LeaseStatus(
    val group: GroupId,
    val term: Term,
    val leftMillis: Long,
    val isDraining: Boolean,
)
