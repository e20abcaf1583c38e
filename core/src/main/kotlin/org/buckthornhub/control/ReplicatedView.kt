package org.buckthornhub.control

/**
 * The newest control state that a daemon has, of whatever role.
 *
 * @property freshMillis local monotonic time at which a majority still stood behind it; 0 if never
 */
public data class ReplicatedView(
    val state: ControlState = ControlState(),
    val freshMillis: Long = 0,
)
