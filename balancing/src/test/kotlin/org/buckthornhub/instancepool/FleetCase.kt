package org.buckthornhub.instancepool

/**
 * A load of a simulated fleet.
 *
 * @property load demand as a multiple of the usual one
 * @property demand demand at the daemons of a zone as a multiple of the fleet's; arguments: zone, ms since the start
 * @property slowness factor on the work at an instance; arguments: instance, ms
 * @property failing share of statements that fail at an instance, which still accepts connections
 * @property isUp whether an instance answers at all
 * @property accepts whether an instance that is up accepts new connections: its health answer
 * @property fromMillis start of the time for which statements are counted
 * @property toMillis end of that time
 * @property expected what has to hold
 */
internal data class FleetCase(
    val name: String,
    val load: Double = 1.0,
    val demand: (String, Long) -> Double = { _, _ -> 1.0 },
    val slowness: (String, Long) -> Double = { _, _ -> 1.0 },
    val failing: (String, Long) -> Double = { _, _ -> 0.0 },
    val isUp: (String, Long) -> Boolean = { _, _ -> true },
    val accepts: (String, Long) -> Boolean = { _, _ -> true },
    val fromMillis: Long = 4_000,
    val toMillis: Long = 12_000,
    val expected: FleetExpectation = FleetExpectation(),
) {
    override fun toString(): String = name
}
