package org.buckthornhub.promotion

/** A control VM of the simulation, and whether it takes itself for the leader. */
internal data class SimulatedControl(
    val state: PromotionState = PromotionState(),
    val clock: SimulatedClock,
    val controlTerm: Long = 0,
    val isLeader: Boolean = false,
    val sinceMillis: Long = 0,
    val pausedUntil: Long = 0,
)
