package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * Response of a stand-in target to `GET /log`: every entry that it committed.
 *
 * @property discarded entries removed because the primary of a newer term did not have them
 */
@Serializable
public data class LogBody(
    val target: TargetId,
    val group: GroupId,
    val role: TargetRole,
    val term: Term,
    val entries: List<LogEntryBody>,
    val discarded: List<LogEntryBody> = emptyList(),
)
