package org.buckthornhub.promotion.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Requests a switchover of [group] to [target] as primary; body of `POST /v1/operator/primary`. */
@Serializable
public data class MoveBody(
    val group: GroupId,
    val target: TargetId,
)
