package org.buckthornhub.control

/**
 * Newest control state known to a daemon of any role.
 *
 * @property freshMillis local monotonic time at which a majority last confirmed it as current, which may lie before the clock's start;
 *   null if never
 */
public data class ReplicatedView(
    val state: ControlState = ControlState(),
    val freshMillis: Long? = null,
)
