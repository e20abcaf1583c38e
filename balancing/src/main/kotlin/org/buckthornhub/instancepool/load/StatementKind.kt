package org.buckthornhub.instancepool.load

import org.buckthornhub.group.GroupId

/** Statements that are assumed to do about the same work: those of one group and route priority. */
public data class StatementKind(
    val group: GroupId,
    val priority: Int,
)
