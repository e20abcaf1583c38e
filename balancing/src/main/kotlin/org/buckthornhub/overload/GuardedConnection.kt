package org.buckthornhub.overload

/**
 * What is known of a connection of the process.
 *
 * @property isEstablished whether it has opened a session or got an answer to a request
 * @property incompleteSinceMillis arrival of the first byte of a message that is not complete; null if there is none
 */
public data class GuardedConnection(
    val id: GuardedId,
    val isEstablished: Boolean = false,
    val holding: Holding = Holding.NONE,
    val incompleteSinceMillis: Long? = null,
)
