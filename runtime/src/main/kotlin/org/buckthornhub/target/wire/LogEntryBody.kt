package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term

/**
 * One committed write or transaction in the log of a target.
 *
 * @property commands statement texts in execution order
 */
@Serializable
public data class LogEntryBody(
    val term: Term,
    val position: LogPosition,
    val requestId: String,
    val commands: List<String>,
)
