package org.buckthornhub.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.organisation.Configuration

/**
 * What one daemon has of the control state, and where it gets it from.
 *
 * @property control addresses of the control VMs; [peers] those of daemons of the own zone, for when control can't be reached
 * @property position index of the current source over both lists
 * @property attempt number of the question that is open; answers to others are dropped
 * @property withdrawn names of keys withdrawn here or at a peer that [view] does not have as withdrawn
 * @property configuration that of [view] with [withdrawn] in force
 * @property history older states by revision, for deltas
 */
public data class FeedState(
    val control: PersistentList<String> = persistentListOf(),
    val peers: PersistentList<String> = persistentListOf(),
    val position: Int = 0,
    val attempt: Long = 0,
    val failures: Int = 0,
    val view: ReplicatedView = ReplicatedView(),
    val withdrawn: PersistentSet<String> = persistentSetOf(),
    val configuration: Configuration = Configuration(),
    val history: PersistentMap<Long, ControlState> = persistentMapOf(),
) {
    /** The address to ask now; null if there is nobody to ask. */
    public val source: String? get() = (control + peers).let { if (it.isEmpty()) null else it[position % it.size] }
}
