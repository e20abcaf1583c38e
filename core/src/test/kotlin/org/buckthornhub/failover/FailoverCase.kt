package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.target.TargetId

/** Directory as seen by the control leader, answers of the replicas, and the instance that is promoted; null for none. */
internal data class FailoverCase(
    val name: String,
    val records: List<InstanceRecord>,
    val unreachable: Set<TargetId>,
    val statuses: Map<String, InstanceStatus?>,
    val promoted: String?,
) {
    override fun toString(): String = name
}
