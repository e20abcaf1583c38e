package org.buckthornhub.horizon

import org.buckthornhub.group.Position

/** [position] covers every commit of the group that was acknowledged before [askedMillis] (local monotonic ms). */
public data class HorizonSample(
    val askedMillis: Long,
    val position: Position,
)
