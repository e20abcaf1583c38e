package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * Limits and permissions of a plan.
 *
 * @property ratePerSecond statements per second over the whole fleet
 * @property burst number of statements that may run at once after an idle period
 * @property groups groups that statements may access
 */
@Serializable
public data class Grant(
    val ratePerSecond: Double,
    val burst: Int,
    val groups: Set<GroupId>,
    val readOnly: Boolean = false,
)
