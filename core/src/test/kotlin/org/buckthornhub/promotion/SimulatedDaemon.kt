package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.HolderState
import org.buckthornhub.target.TargetId

/** Daemon of the simulation: its lease state, the leadership that it has learned, and the targets that it considers its own. */
internal data class SimulatedDaemon(
    val state: HolderState,
    val clock: SimulatedClock,
    val leadership: GroupLeadership? = null,
    val owned: Set<TargetId>,
    val pausedUntil: Long = 0,
) {
    /** True if the daemon has a valid lease at virtual time [trueMillis], of [term] if that is given. */
    fun holdsLease(trueMillis: Long, term: Term? = null): Boolean {
        val held = state.held.termOf(SimulatedTarget.GROUP, clock.at(trueMillis)) ?: return false
        return term == null || held == term
    }
}
