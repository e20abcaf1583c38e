package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * What a plan may use.
 *
 * @property ratePerSecond statements a second over the whole fleet
 * @property burst statements that may come at once after a pause
 * @property groups groups that statements may name
 */
@Serializable
public data class Grant(
    val ratePerSecond: Double,
    val burst: Int,
    val groups: Set<GroupId>,
    val readOnly: Boolean = false,
)
