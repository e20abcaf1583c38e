package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.DaemonEntry
import org.buckthornhub.fleet.TargetUpdate
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupLeadership

/**
 * View of the fleet at one daemon; response to `GET /v1/operator/status`.
 *
 * @property controlAgeMillis time since a majority last confirmed [leaderships] as current; null if never
 * @property leases leases held by this daemon
 * @property promotions null unless this daemon leads the control quorum
 */
@Serializable
public data class StatusBody(
    val vm: VmId,
    val controlAgeMillis: Long?,
    val daemons: List<DaemonEntry>,
    val targets: List<TargetUpdate>,
    val leaderships: List<GroupLeadership>,
    val leases: List<LeaseStatus>,
    val promotions: List<PromotionStatus>? = null,
)
