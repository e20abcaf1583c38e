package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.DaemonEntry
import org.buckthornhub.fleet.TargetUpdate
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupLeadership

/**
 * What one daemon believes; answer to `GET /v1/operator/status`.
 *
 * @property controlAgeMillis how long ago a majority stood behind [leaderships]; null if never
 * @property leases only those of this daemon
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
