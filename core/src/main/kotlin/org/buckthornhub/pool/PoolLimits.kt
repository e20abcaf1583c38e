package org.buckthornhub.pool

/**
 * Limits of a pool.
 *
 * @property idleMillis an unused connection is closed after this time
 * @property refusedMillis after the target refused a slot, fewer are asked for during this time
 * @property heartbeatMillis an idle connection that was silent for this time is asked whether it still answers
 * @property emptyRefusedMillis the same while no connection is open at all
 */
public data class PoolLimits(
    val idleMillis: Long = 30_000,
    val refusedMillis: Long = 500,
    val emptyRefusedMillis: Long = 20,
    val heartbeatMillis: Long = 500,
)
