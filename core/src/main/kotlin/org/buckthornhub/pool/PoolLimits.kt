package org.buckthornhub.pool

/**
 * Time limits of the connection pool of a target, in ms.
 *
 * @property idleMillis a connection that has been idle for this time is closed
 * @property refusalPauseMillis after the target refused a connection, no more than the open ones are used for this time
 * @property heartbeatMillis an idle connection whose last answer is this old is pinged
 * @property emptyPoolRefusalPauseMillis [refusalPauseMillis] while no connection is open at all
 */
public data class PoolLimits(
    val idleMillis: Long = 30_000,
    val refusalPauseMillis: Long = 500,
    val emptyPoolRefusalPauseMillis: Long = 20,
    val heartbeatMillis: Long = 500,
)
