package org.buckthornhub.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId

/** View of the fleet on one daemon: the daemons, and the targets that announced themselves. */
public data class FleetView(
    val daemons: PersistentMap<VmId, DaemonEntry> = persistentMapOf(),
    val targets: PersistentMap<TargetId, TargetEntry> = persistentMapOf(),
) {
    /** Returns the targets of [group] in no particular order. */
    public fun targetsOf(group: GroupId): List<TargetEntry> = targets.values.filter { it.group == group }

    /** Returns the daemons of [zone] that are alive or suspect, and so may own targets. */
    public fun liveDaemonsOf(zone: ZoneId): List<DaemonEntry> =
        daemons.values.filter { it.zone == zone && (it.state == DaemonState.ALIVE || it.state == DaemonState.SUSPECT) }
}
