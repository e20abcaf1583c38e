package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest

/**
 * A statement that arrives while others wait and all connections are in use.
 *
 * @property holdMillis measured hold time; null if nothing was measured
 * @property refused ticket of the refused statement; null if none is
 */
internal data class ArrivalCase(
    val name: String,
    val waiting: List<PendingConnectionRequest>,
    val arriving: PendingConnectionRequest,
    val holdMillis: Double?,
    val refused: Pair<Long, RefusalReason>?,
) {
    override fun toString(): String = name
}
