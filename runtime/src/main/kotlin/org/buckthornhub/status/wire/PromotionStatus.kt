package org.buckthornhub.status.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/** A change of a primary that is under way, as the control leader has it. */
@Serializable
public data class PromotionStatus(
    val group: GroupId,
    val reason: String,
    val step: String,
    val ageMillis: Long,
)
