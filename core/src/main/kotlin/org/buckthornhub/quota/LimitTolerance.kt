package org.buckthornhub.quota

/**
 * Tolerated overrun of an organisation's limit by the whole fleet, because its daemons count independently.
 *
 * @property burstFraction fraction of the burst
 * @property operations number of operations over the whole fleet
 */
public data class LimitTolerance(
    val burstFraction: Double = 0.0,
    val operations: Double = 0.0,
)
