package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/** A change of primary in progress, from the state of the control leader. */
@Serializable
public data class PromotionStatus(
    val group: GroupId,
    val reason: String,
    val step: String,
    val ageMillis: Long,
)
