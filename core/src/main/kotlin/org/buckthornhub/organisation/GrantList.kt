package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * Grants of each plan, as set by operators. [number] increases by one with each change.
 *
 * @property openGroups groups that can be read without a key
 */
@Serializable
public data class GrantList(
    val number: Long = 0,
    val grants: Map<PlanId, Grant> = emptyMap(),
    val openGroups: Set<GroupId> = emptySet(),
)
