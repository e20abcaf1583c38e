package org.buckthornhub.standin.instance

import org.buckthornhub.group.LogPosition

/** Scheduled application of the entries up to [position], which become visible to reads at [dueMillis]. */
public data class PendingApply(
    val dueMillis: Long,
    val position: LogPosition,
)
