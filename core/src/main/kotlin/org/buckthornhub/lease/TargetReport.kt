package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * A target as its owner, or the control leader itself, has last seen it.
 *
 * @property reachable false once the target has not answered for the detection time
 */
@Serializable
public data class TargetReport(
    val target: TargetId,
    val group: GroupId,
    val address: String,
    val role: TargetRole,
    val term: Term,
    val received: LogPosition,
    val reachable: Boolean = true,
    val leaving: Boolean = false,
) {
    /** True if [other] tells nothing new; positions move all the time and are asked for when they matter. */
    public fun isSameAs(other: TargetReport): Boolean = copy(received = other.received) == other
}
