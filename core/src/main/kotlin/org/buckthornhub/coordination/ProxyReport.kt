package org.buckthornhub.coordination

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.quota.DemandReport
import org.buckthornhub.target.TargetId

/**
 * Report of a daemon that serves sessions to the control leader.
 *
 * @property tableVersion version of the daemon's route table
 * @property directoryRevision revision of the newest directory received from the leader of [controlTerm]
 * @property instances all instances known to the daemon, sent to a leader that may have been elected recently
 * @property proxies number of daemons that serve sessions, as counted by the last leader; 0 if not known
 * @property unreachable primaries that have not answered the daemon for some time
 * @property probed primaries that the daemon asks regularly; null from a daemon of a version that asks all of them
 * @property positions recent commit positions that the daemon itself learned from primaries
 * @property designationRevision revision of the designated primaries that the daemon obeys
 * @property evacuationRevision revision of the evacuated zones that the daemon obeys
 */
@OptIn(ExperimentalSerializationApi::class)
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
    val designationRevision: Long = 0,
    val probed: Set<TargetId>? = null,
    val positions: Map<GroupId, SharedPosition> = emptyMap(),
    @EncodeDefault(EncodeDefault.Mode.NEVER) val evacuationRevision: Long = 0,
)
