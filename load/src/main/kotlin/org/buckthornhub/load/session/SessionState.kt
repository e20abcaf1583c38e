package org.buckthornhub.load.session

/**
 * What a session carries from one statement to the next.
 *
 * @property epoch counts how often it was told that a write was lost
 */
internal data class SessionState(
    val token: String? = null,
    val epoch: Int = 0,
    val nextNumber: Long = 0,
)
