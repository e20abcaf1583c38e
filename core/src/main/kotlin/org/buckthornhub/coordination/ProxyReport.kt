package org.buckthornhub.coordination

import kotlinx.serialization.Serializable
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.VmId
import org.buckthornhub.quota.DemandReport
import org.buckthornhub.target.TargetId

/**
 * What a daemon that serves sessions tells the control leader.
 *
 * @property tableVersion of the route table that it has
 * @property directoryRevision of the newest directory that it has from the leader of [controlTerm]
 * @property instances all that it knows, told to a leader that may have been elected just now
 * @property proxies daemons that serve sessions, as the last leader counted them; 0 if not known
 * @property unreachable primaries that have given it no answer for some time
 */
@Serializable
public data class ProxyReport(
    val vm: VmId,
    val tableVersion: Long = 0,
    val controlTerm: Long = 0,
    val directoryRevision: Long = -1,
    val demand: DemandReport = DemandReport(),
    val instances: List<InstanceRecord> = emptyList(),
    val proxies: Int = 0,
    val unreachable: Set<TargetId> = emptySet(),
)
