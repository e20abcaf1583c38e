package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.instancepool.PoolState

/**
 * Decision about an arriving statement.
 *
 * @property refused the arriving statement, or the one whose place it got; null if the statement found a free place
 * @property freeInMillis expected time in ms until [refused] would be accepted
 */
internal data class Arrival(
    val state: PoolState,
    val refused: PendingConnectionRequest? = null,
    val reason: RefusalReason = RefusalReason.EXPIRED,
    val freeInMillis: Double = 0.0,
)
