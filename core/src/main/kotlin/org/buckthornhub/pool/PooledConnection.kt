package org.buckthornhub.pool

/**
 * One slot in use.
 *
 * @property name how the target names the connection; null until it is open
 */
public data class PooledConnection(
    val name: String?,
    val state: ConnectionState,
)
