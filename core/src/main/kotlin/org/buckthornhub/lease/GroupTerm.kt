package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/** One term of one group, for which there is at most one lease. */
@Serializable
public data class GroupTerm(
    val group: GroupId,
    val term: Term,
)
