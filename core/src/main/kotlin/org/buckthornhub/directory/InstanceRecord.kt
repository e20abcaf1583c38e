package org.buckthornhub.directory

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * What an instance last said of itself.
 *
 * @property bornMillis wall time of its start; tells two lives of one id or one address apart
 * @property sequence grows with each announcement of one life
 * @property isLeaving true once it has announced that it will end
 */
@Serializable
public data class InstanceRecord(
    val target: TargetId,
    val group: GroupId,
    val address: String,
    val zone: ZoneId,
    val role: TargetRole,
    val isLeaving: Boolean,
    val bornMillis: Long,
    val sequence: Long,
) {
    /** True if this was said after [other], of the same id. */
    public fun isNewerThan(other: InstanceRecord): Boolean =
        bornMillis > other.bornMillis || bornMillis == other.bornMillis && sequence > other.sequence
}
