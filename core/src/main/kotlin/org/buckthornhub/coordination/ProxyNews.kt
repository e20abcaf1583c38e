package org.buckthornhub.coordination

import kotlinx.serialization.Serializable
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.target.TargetId

/**
 * What a control VM answers to a [ProxyReport].
 *
 * @property leader who leads the control quorum, if known
 * @property controlVms all VMs of the control quorum and those that stand by
 * @property ageMillis time since a majority stood behind the table, as of the answer; null if never
 * @property heldMillis how long the question was held back
 * @property table given if it is newer than that of the report
 * @property instances given by the leader if its directory is newer than that of the report
 * @property ended births of the newest lives that said goodbye
 * @property shares part of each organisation's limit that the daemon may use; null if the leader is too new to know
 * @property proxies daemons that serve sessions
 * @property rank of the daemon among them, from 0 on
 */
@Serializable
public data class ProxyNews(
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
)
