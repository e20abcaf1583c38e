package org.buckthornhub.target.owner

import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/**
 * For a fleet without a control quorum: a group with no committed leadership is led by the primary that announces the
 * highest term. It gives no protection from a replaced primary; with a quorum, [leased] decides alone.
 */
public class UnleasedGroupAuthority(
    private val leased: WriteAuthority,
    private val replicated: StateSource<ReplicatedView>,
    private val view: StateSource<FleetView>,
) : WriteAuthority {
    override fun termOf(target: TargetEntry, nowMillis: Long): Term? {
        if (replicated.current().state.leaderships.containsKey(target.group)) return leased.termOf(target, nowMillis)
        val primary = view.current().targetsOf(target.group).filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
        return primary?.takeIf { it.target == target.target }?.term
    }
}
