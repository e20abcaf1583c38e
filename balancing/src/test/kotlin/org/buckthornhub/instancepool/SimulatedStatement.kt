package org.buckthornhub.instancepool

import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/**
 * A statement on its way through a simulated daemon.
 *
 * @property waitMillis how long it may wait for a connection
 * @property excluded instances that were tried
 */
internal data class SimulatedStatement(
    val daemon: Int,
    val group: GroupId,
    val organisation: OrganisationId,
    val requirement: ConnectionRequirement,
    val priority: Int,
    val workMillis: Double,
    val waitMillis: Long,
    val arrivedMillis: Double,
    val excluded: Set<TargetId> = emptySet(),
    val attempts: Int = 0,
)
