package org.buckthornhub.horizon

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position

/**
 * Commit position of a group that one daemon learned from the primary and shares with the others.
 *
 * @property askedMillis time before which all acknowledged commits are covered, on the monotonic clock of the control leader; a
 * lower bound, as clocks are compared through messages that take time
 */
@Serializable
public data class SharedPosition(
    val position: Position,
    val askedMillis: Long,
)
