package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId

/**
 * State of the membership protocol on one daemon.
 *
 * @property sinceMillis local time at which each daemon entered its current state
 * @property daemonUpdates remaining transmissions of each changed daemon
 * @property targetUpdates remaining transmissions of each changed target
 * @property ticks number of probe periods since the start
 * @property cursor round-robin position of the repeated entries
 * @property seed seed of the next random choice
 */
public data class FleetState(
    val self: DaemonEntry,
    val view: FleetView = FleetView(daemons = persistentMapOf(self.vm to self)),
    val sinceMillis: PersistentMap<VmId, Long> = persistentMapOf(),
    val daemonUpdates: PersistentMap<VmId, Int> = persistentMapOf(),
    val targetUpdates: PersistentMap<TargetId, Int> = persistentMapOf(),
    val ticks: Long = 0,
    val cursor: Int = 0,
    val seed: Long = self.vm.value.hashCode().toLong(),
) {
    /** Returns the peers that are alive or suspect. */
    public fun livePeers(): List<DaemonEntry> =
        view.daemons.values.filter { it.vm != self.vm && it.state <= DaemonState.SUSPECT }.sortedBy { it.vm.value }

    /** Returns the number of transmissions of one change: enough that it reaches every daemon with high probability. */
    internal fun transmitLimit(): Int = TRANSMITS_PER_DOUBLING * (Int.SIZE_BITS - view.daemons.size.countLeadingZeroBits())

    private companion object {
        const val TRANSMITS_PER_DOUBLING = 3
    }
}
