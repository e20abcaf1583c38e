package org.buckthornhub.coordination

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import org.buckthornhub.control.Evacuations
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.target.TargetId

/**
 * Answer of a control VM to a [ProxyReport].
 *
 * @property leader leader of the control quorum, if known
 * @property controlVms all members of the control quorum and its standby VMs
 * @property ageMillis time from the last confirmation of the table by a majority to this answer; null if it was never confirmed
 * @property heldMillis how long the report was held open before the answer was sent (long polling)
 * @property table route table, if newer than that of the report
 * @property instances instances in the directory of the leader, if newer than that of the report
 * @property ended start time of the newest incarnation of each instance that announced its end
 * @property shares fraction of each organisation's limit that the daemon may use; null if the leader does not know the demand yet
 * @property proxies number of daemons that serve sessions
 * @property rank zero-based rank of the daemon among them
 * @property designations designated primaries, of which the leader alone sends the newest; null from other VMs
 * @property leaderMillis monotonic clock of the leader when it made this answer; 0 from other VMs
 * @property positions newest commit positions that daemons have shared
 * @property evacuations evacuated zones; null if there never were any, or from a version that does not know them
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ProxyReportAnswer(
    val leader: VmId? = null,
    val controlTerm: Long = 0,
    val controlVms: Set<VmId> = emptySet(),
    val ageMillis: Long? = null,
    val heldMillis: Long = 0,
    val tableVersion: Long = 0,
    val table: RouteTable? = null,
    val directoryRevision: Long = -1,
    val instances: List<InstanceRecord>? = null,
    val ended: Map<TargetId, Long> = emptyMap(),
    val shares: Map<OrganisationId, Double>? = null,
    val proxies: Int = 1,
    val rank: Int = 0,
    val designations: PrimaryDesignations? = null,
    val leaderMillis: Long = 0,
    val positions: Map<GroupId, SharedPosition> = emptyMap(),
    @EncodeDefault(EncodeDefault.Mode.NEVER) val evacuations: Evacuations? = null,
)
