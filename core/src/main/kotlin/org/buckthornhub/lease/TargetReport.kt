package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * State of a target as last observed by its owner, or by the control leader in a survey.
 *
 * @property received newest position that the target has received
 * @property reachable false once the target has not answered for the detection time
 * @property leaving true if the target has announced its shutdown
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
    /** True if [other] differs at most in its position: positions change constantly and are queried when they are needed. */
    public fun isSameAs(other: TargetReport): Boolean = copy(received = other.received) == other
}
