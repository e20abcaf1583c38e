package org.buckthornhub.horizon

import org.buckthornhub.group.Position

/** Read at 10 s that accepts data up to 2 s old, and the minimum position that it requires. */
internal data class FloorCase(
    val name: String,
    val samples: List<HorizonSample>,
    val own: Position?,
    val floor: Position?,
) {
    override fun toString(): String = name
}
