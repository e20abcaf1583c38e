package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/** Term of a group; at most one lease is valid for it at any time. */
@Serializable
public data class GroupTerm(
    val group: GroupId,
    val term: Term,
)
