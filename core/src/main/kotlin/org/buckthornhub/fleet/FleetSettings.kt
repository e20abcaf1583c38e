package org.buckthornhub.fleet

/**
 * Timings and sizes of the membership protocol.
 *
 * @property seeds `host:port` of daemons that a starting or isolated daemon contacts
 * @property probeMillis probe period
 * @property zoneSuspicionMillis suspicion timeout of a daemon of the own zone, after which it is declared dead
 * @property remoteSuspicionMillis suspicion timeout of a daemon of another zone
 * @property remoteProbeTicks number of probe periods between probes of daemons of other zones
 * @property deadProbeTicks number of probe periods between probes of dead daemons or seeds
 * @property smallZoneSize with fewer other live daemons in the zone than this, a daemon probes two of them per period instead of one
 * @property relays number of daemons that probe an unresponsive one indirectly
 * @property eagerPeers number of daemons that a new primary of a higher term is pushed to immediately
 * @property maxUpdates maximum number of changes of each kind in one message
 * @property refreshedTargets number of unchanged targets that a message repeats
 * @property dropTargetMillis base time without reports after which a target is removed; see [dropMillis]
 * @property forgetDeadMillis time after which a daemon that is dead or leaving is removed
 */
public data class FleetSettings(
    val seeds: List<String> = emptyList(),
    val probeMillis: Long = 400,
    val zoneSuspicionMillis: Long = 1_000,
    val remoteSuspicionMillis: Long = 3_000,
    val remoteProbeTicks: Long = 4,
    val deadProbeTicks: Long = 5,
    val smallZoneSize: Int = 8,
    val relays: Int = 2,
    val eagerPeers: Int = 8,
    val maxUpdates: Int = 8,
    val refreshedTargets: Int = 2,
    val dropTargetMillis: Long = 15_000,
    val forgetDeadMillis: Long = 3_600_000,
) {
    /** Returns the time without reports after which a target is removed. It grows with [targets], as each is repeated less often. */
    public fun dropMillis(targets: Int): Long = dropTargetMillis + targets * probeMillis / refreshedTargets.coerceAtLeast(1)
}
