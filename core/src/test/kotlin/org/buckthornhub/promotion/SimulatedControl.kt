package org.buckthornhub.promotion

/** Control VM of the simulation; [isLeader] is true if it considers itself the leader. */
internal data class SimulatedControl(
    val state: PromotionState = PromotionState(),
    val clock: SimulatedClock,
    val controlTerm: Long = 0,
    val isLeader: Boolean = false,
    val sinceMillis: Long = 0,
    val pausedUntil: Long = 0,
)
