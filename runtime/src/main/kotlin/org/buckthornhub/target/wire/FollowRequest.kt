package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Term

/** Orders a target to replicate from [primaryAddress], which leads in [term]. */
@Serializable
public data class FollowRequest(
    val term: Term,
    val primaryAddress: String,
)
