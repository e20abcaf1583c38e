package org.buckthornhub.fleet

import kotlinx.serialization.Serializable
import org.buckthornhub.target.TargetEntry

/** A target as some daemon heard it [ageMillis] ago; clocks of two VMs are never compared. */
@Serializable
public data class TargetNews(
    val entry: TargetEntry,
    val ageMillis: Long,
)
