package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.HolderState
import org.buckthornhub.target.TargetId

/** A daemon of the simulation: its holder, what it knows, and the targets that it takes for its own. */
internal data class SimulatedDaemon(
    val state: HolderState,
    val clock: SimulatedClock,
    val leadership: GroupLeadership? = null,
    val owned: Set<TargetId>,
    val pausedUntil: Long = 0,
) {
    /** True if the daemon counts on a lease, of [term] if that is given. */
    fun believes(trueMillis: Long, term: Term? = null): Boolean {
        val held = state.held.termOf(SimulatedTarget.GROUP, clock.at(trueMillis)) ?: return false
        return term == null || held == term
    }
}
