package org.buckthornhub.target.owner

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/**
 * For a daemon that stands alone, without a control quorum: a group is led by the primary that announces the highest
 * term. It gives no protection from a replaced primary.
 */
public class UnleasedGroupAuthority(private val view: StateSource<FleetView>) : WriteAuthority {
    override fun termOf(target: TargetEntry, nowMillis: Long): Term? {
        val primary = view.current().targetsOf(target.group).filter { it.role == TargetRole.PRIMARY }.maxByOrNull { it.term }
        return primary?.takeIf { it.target == target.target }?.term
    }
}
