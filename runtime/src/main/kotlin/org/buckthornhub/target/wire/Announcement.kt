package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Announcement of a target to daemons; also its response to `GET /status`. */
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
    /** Returns the entry for the fleet view, with [nowMillis] as the time of receipt. */
    public fun toEntry(nowMillis: Long): TargetEntry =
        TargetEntry(target, group, zone, address, role, term, received, applied, slots, leaving, announcedMillis = nowMillis)
}
