package org.buckthornhub.pool

/**
 * Limits of a pool.
 *
 * @property idleMillis an unused connection is closed after this time
 * @property refusedMillis after the target refused a slot, fewer are asked for during this time
 * @property emptyRefusedMillis the same while no connection is open at all
 */
public data class PoolLimits(
    val idleMillis: Long = 30_000,
    val refusedMillis: Long = 500,
    val emptyRefusedMillis: Long = 20,
)
