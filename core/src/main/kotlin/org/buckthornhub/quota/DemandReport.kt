package org.buckthornhub.quota

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.OrganisationId

/** Operations a second that one daemon was lately asked for, whether it let them through or not. */
@Serializable
public data class DemandReport(val perSecond: Map<OrganisationId, Double> = emptyMap())
