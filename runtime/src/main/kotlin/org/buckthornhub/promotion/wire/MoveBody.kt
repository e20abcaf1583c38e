package org.buckthornhub.promotion.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Asks that [target] leads [group]; body of `POST /v1/operator/primary`. */
@Serializable
public data class MoveBody(
    val group: GroupId,
    val target: TargetId,
)
