package org.buckthornhub.target.owner

import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.Term
import org.buckthornhub.lease.HeldLeases
import org.buckthornhub.target.TargetEntry

/** Allows writes under the lease of the group, and only on the primary that the control quorum committed for the term. */
public class LeaseWriteAuthority(
    private val leases: StateSource<HeldLeases>,
    private val replicated: StateSource<ReplicatedView>,
) : WriteAuthority {
    override fun termOf(target: TargetEntry, nowMillis: Long): Term? =
        leases.current().termOf(target.group, nowMillis)?.takeIf { isCommitted(it, target) }

    override fun termForNewWrite(target: TargetEntry, nowMillis: Long): Term? =
        leases.current().termForNewWrite(target.group, nowMillis)?.takeIf { isCommitted(it, target) }

    private fun isCommitted(term: Term, target: TargetEntry): Boolean {
        val leadership = replicated.current().state.leaderships[target.group] ?: return false
        return leadership.term == term && leadership.primary == target.target
    }
}
