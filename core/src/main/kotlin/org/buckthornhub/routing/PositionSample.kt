package org.buckthornhub.routing

import org.buckthornhub.group.Position

/**
 * Position of a primary at a time.
 *
 * @property atMillis local monotonic time: in routing hints when [position] was observed, which makes it a lower bound of
 * the position at that time; in proofs of data age when [position] was requested, which makes it an upper bound
 */
public data class PositionSample(
    val position: Position,
    val atMillis: Long,
)
