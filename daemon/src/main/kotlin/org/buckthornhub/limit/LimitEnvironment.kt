package org.buckthornhub.limit

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.OrganisationId

/**
 * Dependencies that the limit tasks of one daemon share.
 *
 * @property epoch random at each start; see [HolderId]
 */
internal class LimitEnvironment(
    val vm: VmId,
    val zone: ZoneId,
    val epoch: Long,
    val timing: LimitTiming,
    val configuration: StateSource<Configuration>,
    val view: StateSource<FleetView>,
) {
    /** Returns the limit of each organisation according to the latest plans and grants. */
    fun limits(): Map<OrganisationId, RateLimit> {
        val current = configuration.current()
        return current.plans.plans.keys
            .mapNotNull { organisation -> current.grantOf(organisation)?.let { organisation to it } }
            .associate { (organisation, grant) -> organisation to RateLimit.of(grant, timing.driftPartsPerMillion) }
    }
}
