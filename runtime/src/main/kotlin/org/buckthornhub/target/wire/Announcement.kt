package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** How a target announces itself to daemons, and its answer to `GET /status`. */
@Serializable
public data class Announcement(
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
    val connectionsOpen: Int = 0,
) {
    /** The entry of the fleet's view, heard at [nowMillis]. */
    public fun toEntry(nowMillis: Long): TargetEntry =
        TargetEntry(target, group, zone, address, role, term, received, applied, slots, leaving, announcedMillis = nowMillis)
}
