package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.target.TargetId

/**
 * Group with synchronous replicas as the control leader sees it.
 *
 * @property answers what each replica answers; a missing one does not answer
 * @property refused instances whose promotion the platform refuses
 * @property recordsUntil records before [records] took their place, and until when in ms
 * @property promoted the instance that is ordered to lead in the end; null for none
 */
internal data class SyncFailoverCase(
    val name: String,
    val records: List<InstanceRecord>,
    val answers: Map<String, InstanceStatus>,
    val promoted: String?,
    val syncReplicas: Int = 1,
    val unreachable: Set<TargetId> = setOf(TargetId("leader")),
    val refused: Set<String> = emptySet(),
    val recordsUntil: Pair<List<InstanceRecord>, Long>? = null,
) {
    override fun toString(): String = name
}
