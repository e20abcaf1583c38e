package org.buckthornhub.instancepool

import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetId

/**
 * A request for a connection to an instance of [group].
 *
 * @property organisation organisation that uses the connection; null accepts one of any organisation, for the daemon's own statements
 * @property priority order of service; 0 is served first
 * @property excluded instances that were already tried for the same statement
 */
public data class ConnectionRequest(
    val group: GroupId,
    val organisation: OrganisationId?,
    val requirement: ConnectionRequirement,
    val priority: Int = 0,
    val excluded: Set<TargetId> = emptySet(),
)
