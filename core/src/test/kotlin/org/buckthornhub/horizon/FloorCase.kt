package org.buckthornhub.horizon

import org.buckthornhub.group.Position

/** A read at 10 s that accepts data of 2 s, and the position that it has to see. */
internal data class FloorCase(
    val name: String,
    val samples: List<HorizonSample>,
    val own: Position?,
    val floor: Position?,
) {
    override fun toString(): String = name
}
