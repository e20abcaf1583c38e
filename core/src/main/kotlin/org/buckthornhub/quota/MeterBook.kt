package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/** The meters of one daemon. */
public data class MeterBook(val meters: PersistentMap<OrganisationId, OrganisationMeter> = persistentMapOf()) {
    /** What this daemon was lately asked for. */
    public val demand: DemandReport
        get() = DemandReport(meters.filterValues { it.perSecond > 0 }.mapValues { it.value.perSecond })
}
