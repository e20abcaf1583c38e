package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term

/** Committed write or transaction in the log of a group. */
public data class LogEntry(
    val term: Term,
    val position: LogPosition,
    val requestId: String,
    val commands: PersistentList<Command>,
)
