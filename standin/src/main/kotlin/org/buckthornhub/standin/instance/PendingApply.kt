package org.buckthornhub.standin.instance

import org.buckthornhub.group.LogPosition

/** Entries up to [position] that reads see from [dueMillis] on. */
public data class PendingApply(
    val dueMillis: Long,
    val position: LogPosition,
)
