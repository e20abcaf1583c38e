package org.buckthornhub.pool

/**
 * The connection in a slot that is in use.
 *
 * @property name name of the connection at the target; null until it is open
 */
public data class PooledConnection(
    val name: String?,
    val state: ConnectionState,
)
