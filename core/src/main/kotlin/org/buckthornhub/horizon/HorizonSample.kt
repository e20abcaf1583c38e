package org.buckthornhub.horizon

import org.buckthornhub.group.Position

/**
 * Commit position of a group, as its primary reported it.
 *
 * @property askedMillis when the request was sent (local monotonic ms)
 * @property position covers every commit that was acknowledged before [askedMillis]
 */
public data class HorizonSample(
    val askedMillis: Long,
    val position: Position,
)
