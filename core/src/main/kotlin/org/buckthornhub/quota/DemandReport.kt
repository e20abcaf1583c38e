package org.buckthornhub.quota

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Recent operations per second requested from one daemon, by organisation, including the refused ones. */
@Serializable
public data class DemandReport(val perSecond: Map<OrganisationId, Double> = emptyMap())
