package org.buckthornhub.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.organisation.Configuration

/**
 * Control state of one daemon, and the sources that it is fetched from.
 *
 * @property control addresses of the control VMs
 * @property peers addresses of daemons of the own zone, used when no control VM is reachable
 * @property sourceIndex index of the current source in [control] followed by [peers]; taken modulo their number
 * @property attempt number of the current request; answers to earlier ones are ignored
 * @property withdrawn names of keys that were withdrawn locally or at a peer, but not yet in [view]
 * @property configuration configuration of [view] with the keys in [withdrawn] marked as withdrawn
 * @property history earlier states by revision, from which deltas are computed
 */
public data class FeedState(
    val control: PersistentList<String> = persistentListOf(),
    val peers: PersistentList<String> = persistentListOf(),
    val sourceIndex: Int = 0,
    val attempt: Long = 0,
    val view: ReplicatedView = ReplicatedView(),
    val withdrawn: PersistentSet<String> = persistentSetOf(),
    val configuration: Configuration = Configuration(),
    val history: PersistentMap<Long, ControlState> = persistentMapOf(),
) {
    /** Address of the current source; null if there is none. */
    public val source: String? get() = (control + peers).let { if (it.isEmpty()) null else it[sourceIndex % it.size] }
}
