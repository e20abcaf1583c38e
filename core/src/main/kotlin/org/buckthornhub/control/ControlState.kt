package org.buckthornhub.control

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.routetable.StoredRouteTable

/** All that the control quorum has agreed on. */
@Serializable
public data class ControlState(
    val configuration: Configuration = Configuration(),
    val leaderships: Map<GroupId, GroupLeadership> = emptyMap(),
    val routeTable: StoredRouteTable? = null,
) {
    /** Grows by one with each accepted change of whatever kind. */
    public val revision: Long get() = configuration.revision
}
