package org.buckthornhub.instancepool

import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/**
 * Asks for a connection.
 *
 * @property organisation on whose behalf; null takes a connection of any, for what the daemon itself asks
 * @property priority 0 is served first
 * @property excluded instances that were tried already
 */
public data class ConnectionWant(
    val group: GroupId,
    val organisation: OrganisationId?,
    val need: ConnectionNeed,
    val priority: Int = 0,
    val excluded: Set<TargetId> = emptySet(),
)
