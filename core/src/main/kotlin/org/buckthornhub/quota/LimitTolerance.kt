package org.buckthornhub.quota

/**
 * By how much an organisation's limit may be overrun by the fleet together, because its daemons count apart.
 *
 * @property part of the burst
 * @property operations over the fleet
 */
public data class LimitTolerance(
    val part: Double = 0.0,
    val operations: Double = 0.0,
)
