package org.buckthornhub.routing

import org.buckthornhub.group.Position

/** The primary had come at least as far as [position] at [atMillis], in local monotonic time. */
public data class PositionSample(
    val position: Position,
    val atMillis: Long,
)
