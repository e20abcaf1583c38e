package org.buckthornhub.connection

import org.buckthornhub.group.Position

/** The newest commit of a session in a group, and when its acknowledgement arrived (local monotonic ms). */
public data class CommitMark(
    val position: Position,
    val acknowledgedMillis: Long,
)
