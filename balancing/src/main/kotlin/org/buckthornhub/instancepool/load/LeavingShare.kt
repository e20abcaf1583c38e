package org.buckthornhub.instancepool.load

/**
 * Share of the reads of one group that leaves the own zone, with the inputs of the newest step.
 *
 * @property share from 0 to 1
 * @property steppedMillis time of the newest step
 * @property homeMillis estimated excess in the own zone; its difference from [awayMillis] counts
 * @property awayMillis estimated excess in the best other zone, with the network latency
 */
public data class LeavingShare(
    val share: Double = 0.0,
    val steppedMillis: Long = 0,
    val homeMillis: Double = 0.0,
    val awayMillis: Double = 0.0,
)
