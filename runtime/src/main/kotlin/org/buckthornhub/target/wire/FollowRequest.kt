package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Term

/** Makes a target replicate from the primary of [term], at [primaryAddress]. */
@Serializable
public data class FollowRequest(
    val term: Term,
    val primaryAddress: String,
)
