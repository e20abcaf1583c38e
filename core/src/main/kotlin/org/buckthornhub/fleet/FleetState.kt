package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId

/**
 * What the membership protocol of one daemon remembers.
 *
 * @property sinceMillis local time since which a daemon has been in its present state
 * @property daemonNews how many more messages tell of a changed daemon
 * @property targetNews how many more messages tell of a changed target
 * @property ticks periods since the start
 * @property cursor position in the round of repeats
 * @property seed of the next random choice
 */
public data class FleetState(
    val self: DaemonEntry,
    val view: FleetView = FleetView(daemons = persistentMapOf(self.vm to self)),
    val sinceMillis: PersistentMap<VmId, Long> = persistentMapOf(),
    val daemonNews: PersistentMap<VmId, Int> = persistentMapOf(),
    val targetNews: PersistentMap<TargetId, Int> = persistentMapOf(),
    val ticks: Long = 0,
    val cursor: Int = 0,
    val seed: Long = self.vm.value.hashCode().toLong(),
) {
    /** Peers that may answer. */
    public fun livePeers(): List<DaemonEntry> =
        view.daemons.values.filter { it.vm != self.vm && it.state <= DaemonState.SUSPECT }.sortedBy { it.vm.value }

    /** Messages that tell of one change: enough that each daemon hears of it with high probability. */
    internal fun repeats(): Int = REPEATS_PER_DOUBLING * (Int.SIZE_BITS - view.daemons.size.countLeadingZeroBits())

    private companion object {
        const val REPEATS_PER_DOUBLING = 3
    }
}
