package org.buckthornhub.quota

/**
 * Load and faults of a fleet whose daemons share one limit.
 *
 * @property load requested operations as a fraction of the rate, by second
 * @property skew weight of each daemon's callers, by daemon and second
 * @property partitioned whether a daemon is partitioned from the leader, by daemon and second
 * @property maxRefusedPercent allowed refusals in % of the operations, beyond those due to the limit itself; null for overload
 * @property isSplit whether each daemon has a share of its own; the baseline in a large fleet
 * @property minRefusedPercent least refusals, for baselines that show the fault
 */
internal data class LimitSplitCase(
    val name: String,
    val ratePerSecond: Double = 60.0,
    val load: (second: Int) -> Double = { USUAL_LOAD },
    val skew: (daemon: Int, second: Int) -> Double = { daemon, _ -> 1.0 + daemon % 3 },
    val partitioned: (daemon: Int, second: Int) -> Boolean = { _, _ -> false },
    val maxRefusedPercent: Double? = null,
    val daemons: Int = 8,
    val isSplit: Boolean = daemons <= LimitDivision.SPLIT_UP_TO,
    val minRefusedPercent: Double? = null,
) {
    override fun toString(): String = name

    companion object {
        /** Limits are about 1.6 times the usual demand of an organisation. */
        const val USUAL_LOAD = 0.625
    }
}
