package org.buckthornhub.instancepool.waiting

import org.buckthornhub.organisation.OrganisationId

/** A request of the simulated load. */
internal data class SimulatedRequest(
    val kind: RequestKind,
    val organisation: OrganisationId,
    val arrivedMillis: Long,
    val holdMillis: Long,
    val hasBegun: Boolean,
) {
    val isOrdinary: Boolean get() = organisation != FLOODING

    companion object {
        val FLOODING = OrganisationId("o0")
    }
}
