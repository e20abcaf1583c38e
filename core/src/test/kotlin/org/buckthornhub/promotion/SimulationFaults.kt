package org.buckthornhub.promotion

/**
 * What goes wrong in a simulation.
 *
 * @property lossPercent messages that are lost
 * @property latePercent messages that take up to [lateMillis] instead of a few ms
 * @property faultMillis mean time between two faults: deaths, restarts, pauses, new control leaders, wrong owners
 * @property driftPercent by how much clocks run fast or slow
 */
internal data class SimulationFaults(
    val lossPercent: Int = 10,
    val latePercent: Int = 5,
    val lateMillis: Long = 3_000,
    val faultMillis: Int = 700,
    val driftPercent: Long = 5,
)
