package org.buckthornhub.fleet

import kotlinx.serialization.Serializable
import org.buckthornhub.target.TargetEntry

/** State of a target as reported [ageMillis] ago. Ages are sent instead of times, so clocks of different VMs are never compared. */
@Serializable
public data class TargetUpdate(
    val entry: TargetEntry,
    val ageMillis: Long,
)
