package org.buckthornhub.coordination

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.failover.FailoverState
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.quota.DemandTable
import org.buckthornhub.target.TargetId

/**
 * State of the coordinator on the control leader. It is not replicated: a new leader collects it anew.
 *
 * @property directoryRevision grows with each change of [directory]
 * @property unreachable primaries that each daemon cannot reach
 * @property probed primaries that each daemon asks regularly; null for all
 * @property positions newest commit positions that daemons have shared, by group
 * @property proxies number of daemons that serve sessions, as counted by an earlier leader; 0 if not known
 * @property designations primaries that the control quorum has designated
 * @property evacuated availability zones whose instances may not lead
 * @property groups groups that the route table names; null if there is no table that could name them
 * @property syncReplicas number of replicas that have received each acknowledged commit, by group
 * @property leases leases of the daemons for the use of primaries
 * @property leadingSinceMillis local time at which this VM became the leader; null if it does not lead
 */
public data class CoordinatorState(
    val directory: InstanceDirectory = InstanceDirectory(),
    val directoryRevision: Long = 0,
    val demand: DemandTable = DemandTable(),
    val unreachable: PersistentMap<VmId, Set<TargetId>> = persistentMapOf(),
    val probed: PersistentMap<VmId, Set<TargetId>?> = persistentMapOf(),
    val positions: PersistentMap<GroupId, SharedPosition> = persistentMapOf(),
    val proxies: Int = 0,
    val designations: PrimaryDesignations = PrimaryDesignations(),
    val evacuated: Set<ZoneId> = emptySet(),
    val groups: Set<GroupId>? = null,
    val syncReplicas: Map<GroupId, Int> = emptyMap(),
    val leases: PrimaryLeases = PrimaryLeases(),
    val failover: FailoverState = FailoverState(),
    val leadingSinceMillis: Long? = null,
)
