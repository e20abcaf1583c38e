package org.buckthornhub.fleet

/**
 * A converged fleet, an event, and the view that every running daemon must reach within [limitMillis].
 *
 * @property zones daemons in each zone, named `a0`, `a1`, `b0` and so on
 */
internal data class MembershipCase(
    val name: String,
    val zones: List<Int>,
    val event: (FleetNetwork) -> Unit,
    val limitMillis: Long,
    val lossPercent: Int = 0,
    val isSettled: (FleetNetwork) -> Boolean,
) {
    override fun toString(): String = "$name, zones $zones"
}
