package org.buckthornhub.load.run

import org.buckthornhub.load.check.OrganisationRight
import org.buckthornhub.load.session.SessionPlan

/**
 * What a run does.
 *
 * @property keys key of each organisation
 * @property clientDelayMillis network delay between clients and daemons, one way
 * @property standIns ports of the groups that give logs
 */
public data class LoadPlan(
    val daemons: List<String>,
    val keys: Map<String, String>,
    val sessions: List<SessionPlan>,
    val durationMillis: Long,
    val seed: Long,
    val rights: List<OrganisationRight> = emptyList(),
    val clientDelayMillis: Long = 3,
    val deadlineMillis: Long = 2_000,
    val standIns: List<StandinAddress> = emptyList(),
    val faults: List<FaultOrder> = emptyList(),
    val direct: Boolean = false,
)
