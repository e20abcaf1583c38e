package org.buckthornhub.promotion

/** Result of a simulation; [violations] must be empty if the leases are safe. */
internal data class SimulationResult(
    val violations: List<String>,
    val promotions: Int,
    val acknowledged: Int,
    val isHeldAtEnd: Boolean,
)
