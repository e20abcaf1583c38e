package org.buckthornhub.promotion

/**
 * Rates of the faults in a simulation.
 *
 * @property lossPercent share of messages that are lost
 * @property delayPercent share of messages that take up to [maxDelayMillis] instead of a few ms
 * @property faultIntervalMillis mean time between two faults: crashes, restarts, pauses, control elections, moves of ownership
 * @property driftPercent maximum rate by which clocks run fast or slow
 */
internal data class SimulationFaults(
    val lossPercent: Int = 10,
    val delayPercent: Int = 5,
    val maxDelayMillis: Long = 3_000,
    val faultIntervalMillis: Int = 700,
    val driftPercent: Long = 5,
)
