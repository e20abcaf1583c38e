package org.buckthornhub.fleet

/**
 * Times and sizes of the membership protocol.
 *
 * @property seeds `host:port` of daemons that a starting or cut-off daemon asks
 * @property probeMillis period of the probes
 * @property zoneSuspicionMillis time that a suspect of the own zone has to answer
 * @property remoteSuspicionMillis time that a suspect of another zone has to answer
 * @property remoteProbeTicks a daemon of another zone is probed every so many periods
 * @property deadProbeTicks a dead daemon or a seed is probed every so many periods
 * @property smallZone in a zone with fewer daemons than this, each probes two of the others a period
 * @property relays daemons that are asked to probe a silent one
 * @property urgentPeers daemons that are told at once when a target takes a new term
 * @property maxNews changes of each kind in one message
 * @property refreshedTargets targets that a message repeats without a change
 * @property dropTargetMillis a target that nobody heard for so long is forgotten
 * @property forgetDeadMillis a dead daemon is forgotten after so long
 */
public data class FleetSettings(
    val seeds: List<String> = emptyList(),
    val probeMillis: Long = 400,
    val zoneSuspicionMillis: Long = 1_000,
    val remoteSuspicionMillis: Long = 3_000,
    val remoteProbeTicks: Long = 4,
    val deadProbeTicks: Long = 5,
    val smallZone: Int = 8,
    val relays: Int = 2,
    val urgentPeers: Int = 8,
    val maxNews: Int = 8,
    val refreshedTargets: Int = 2,
    val dropTargetMillis: Long = 15_000,
    val forgetDeadMillis: Long = 3_600_000,
) {
    /** Repeats come around more slowly the more [targets] there are, so a target is kept longer. */
    public fun dropMillis(targets: Int): Long = dropTargetMillis + targets * probeMillis / refreshedTargets.coerceAtLeast(1)
}
