package org.buckthornhub.directory

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * The newest announcement of an instance.
 *
 * @property startedWallMillis wall time at which the instance started; identifies the incarnation of an id or an address
 * @property sequence number of the announcement; increases within one incarnation
 * @property isLeaving true once the instance has announced that it is shutting down
 */
@Serializable
public data class InstanceRecord(
    val target: TargetId,
    val group: GroupId,
    val address: String,
    val zone: ZoneId,
    val role: TargetRole,
    val isLeaving: Boolean,
    @SerialName("bornMillis") val startedWallMillis: Long,
    val sequence: Long,
) {
    /** Returns true if this announcement was made after [other], which has the same id. */
    public fun isNewerThan(other: InstanceRecord): Boolean =
        startedWallMillis > other.startedWallMillis || startedWallMillis == other.startedWallMillis && sequence > other.sequence
}
