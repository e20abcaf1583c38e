package org.buckthornhub.limit

/**
 * How much goes wrong; periods are means between two faults, in ms, 0 for never.
 *
 * @property lossPercent messages lost; [doublePercent] doubled; [slowPercent] delayed by up to 400 ms
 */
internal data class FaultPlan(
    val lossPercent: Int = 0,
    val doublePercent: Int = 0,
    val slowPercent: Int = 0,
    val deathMillis: Int = 0,
    val pauseMillis: Int = 0,
    val cutMillis: Int = 0,
    val leaderMillis: Int = 0,
    val wrongHolderPercent: Int = 0,
    val driftPartsPerMillion: Int = 0,
)
