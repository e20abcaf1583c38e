package org.buckthornhub.quota

/**
 * A fleet of daemons that share one limit.
 *
 * @property load operations asked for, as a part of the rate, by second
 * @property skew weight of each daemon's callers, by second
 * @property cutOff whether a daemon reaches the leader, by daemon and second
 * @property mostRefusedPercent of the operations, beyond those that the limit itself refuses; null for floods
 */
internal data class LimitSplitCase(
    val name: String,
    val ratePerSecond: Double = 60.0,
    val load: (second: Int) -> Double = { USUAL_LOAD },
    val skew: (daemon: Int, second: Int) -> Double = { daemon, _ -> 1.0 + daemon % 3 },
    val cutOff: (daemon: Int, second: Int) -> Boolean = { _, _ -> false },
    val mostRefusedPercent: Double? = null,
) {
    override fun toString(): String = name

    companion object {
        /** Limits are some 1.6 times what organisations usually ask for. */
        const val USUAL_LOAD = 0.625
    }
}
