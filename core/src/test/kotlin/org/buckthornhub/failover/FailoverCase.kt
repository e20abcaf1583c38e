package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.target.TargetId

/** What the leader sees for a while, what replicas say of themselves, and who is promoted; null if nobody. */
internal data class FailoverCase(
    val name: String,
    val records: List<InstanceRecord>,
    val unreachable: Set<TargetId>,
    val statuses: Map<String, InstanceStatus?>,
    val promoted: String?,
) {
    override fun toString(): String = name
}
