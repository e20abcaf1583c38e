package org.buckthornhub.control

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanId
import org.buckthornhub.routetable.StoredRouteTable

/** Difference between the control states of revision [from] and revision [to]. Keys and leaderships are never removed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ControlDelta(
    val from: Long,
    val to: Long,
    val plansNumber: Long,
    val grantsNumber: Long,
    val plans: Map<OrganisationId, PlanId> = emptyMap(),
    val plansRemoved: Set<OrganisationId> = emptySet(),
    val grants: Map<PlanId, Grant> = emptyMap(),
    val grantsRemoved: Set<PlanId> = emptySet(),
    val openGroups: Set<GroupId>? = null,
    val keys: Map<KeyDigest, KeyRecord> = emptyMap(),
    val leaderships: Map<GroupId, GroupLeadership> = emptyMap(),
    val routeTable: StoredRouteTable? = null,
    val designations: PrimaryDesignations? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val evacuations: Evacuations? = null,
)
