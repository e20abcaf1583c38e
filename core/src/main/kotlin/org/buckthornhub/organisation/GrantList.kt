package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * The second list of the operators: what each plan may use. [number] grows by one with each change.
 *
 * @property openGroups groups that anyone may read without a key
 */
@Serializable
public data class GrantList(
    val number: Long = 0,
    val grants: Map<PlanId, Grant> = emptyMap(),
    val openGroups: Set<GroupId> = emptySet(),
)
