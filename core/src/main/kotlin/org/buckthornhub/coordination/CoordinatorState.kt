package org.buckthornhub.coordination

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.failover.FailoverState
import org.buckthornhub.fleet.VmId
import org.buckthornhub.quota.DemandTable
import org.buckthornhub.target.TargetId

/**
 * What the leader of the control quorum knows of instances and daemons; another leader learns it anew.
 *
 * @property directoryRevision grows with each change of [directory]
 * @property unreachable what each daemon can't reach
 * @property proxies daemons that serve sessions, as they were told by an earlier leader; 0 if not known
 * @property leadingSinceMillis null on a VM that does not lead
 */
public data class CoordinatorState(
    val directory: InstanceDirectory = InstanceDirectory(),
    val directoryRevision: Long = 0,
    val demand: DemandTable = DemandTable(),
    val unreachable: PersistentMap<VmId, Set<TargetId>> = persistentMapOf(),
    val proxies: Int = 0,
    val failover: FailoverState = FailoverState(),
    val leadingSinceMillis: Long? = null,
)
