package org.buckthornhub.limit

/**
 * Rates of injected faults. Values in ms are mean intervals between two faults; 0 disables the fault.
 *
 * @property lossPercent share of lost messages; [duplicatePercent] of duplicated ones; [slowPercent] of ones delayed by up to 400 ms
 */
internal data class FaultPlan(
    val lossPercent: Int = 0,
    val duplicatePercent: Int = 0,
    val slowPercent: Int = 0,
    val restartMillis: Int = 0,
    val pauseMillis: Int = 0,
    val partitionMillis: Int = 0,
    val leaderChangeMillis: Int = 0,
    val wrongHolderPercent: Int = 0,
    val driftPartsPerMillion: Int = 0,
)
