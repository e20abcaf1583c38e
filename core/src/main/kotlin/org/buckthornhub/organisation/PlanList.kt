package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** Plan of each organisation, as set by operators. [number] increases by one with each change. */
@Serializable
public data class PlanList(
    val number: Long = 0,
    val plans: Map<OrganisationId, PlanId> = emptyMap(),
)
