package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/** The first list of the operators: the plan that each organisation holds. [number] grows by one with each change. */
@Serializable
public data class PlanList(
    val number: Long = 0,
    val plans: Map<OrganisationId, PlanId> = emptyMap(),
)
