package org.buckthornhub.target.owner

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/**
 * Write authority for a daemon without a control quorum: writes run on the primary that announces the highest term.
 * It does not protect from writes on a replaced primary.
 */
public class UnleasedGroupAuthority(private val view: StateSource<FleetView>) : WriteAuthority {
    override fun termOf(target: TargetEntry, nowMillis: Long): Term? {
        val primary = view.current().targetsOf(target.group).filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
        return primary?.takeIf { it.target == target.target }?.term
    }
}
