package org.buckthornhub.control

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.routetable.StoredRouteTable

/** State that the control quorum has committed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ControlState(
    val configuration: Configuration = Configuration(),
    val leaderships: Map<GroupId, GroupLeadership> = emptyMap(),
    val routeTable: StoredRouteTable? = null,
    val designations: PrimaryDesignations = PrimaryDesignations(),
    @EncodeDefault(EncodeDefault.Mode.NEVER) val evacuations: Evacuations = Evacuations(),
) {
    /** Number of accepted changes of any kind. */
    public val revision: Long get() = configuration.revision
}
