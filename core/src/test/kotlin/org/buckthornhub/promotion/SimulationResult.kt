package org.buckthornhub.promotion

/** What a simulation found; [violations] has to be empty. */
internal data class SimulationResult(
    val violations: List<String>,
    val changes: Int,
    val acknowledged: Int,
    val isHeldAtEnd: Boolean,
)
