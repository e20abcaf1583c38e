package org.buckthornhub.target

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term

/**
 * Latest announcement of a target.
 *
 * @property address `host:port` of the target
 * @property received last log position that the target has stored
 * @property applied last log position that reads on the target see
 * @property leaving true once the target has announced that it will shut down
 * @property announcedMillis local monotonic time of the announcement; 0 before the first one
 */
@Serializable
public data class TargetEntry(
    val target: TargetId,
    val group: GroupId,
    val zone: ZoneId,
    val address: String,
    val role: TargetRole,
    val term: Term,
    val received: LogPosition,
    val applied: LogPosition,
    val slots: Int,
    val leaving: Boolean = false,
    @SerialName("heardMillis") val announcedMillis: Long = 0,
)
