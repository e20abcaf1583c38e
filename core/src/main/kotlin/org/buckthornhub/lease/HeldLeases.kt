package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/** Leases that this daemon holds, valid or expired. */
public data class HeldLeases(val leases: PersistentMap<GroupId, Lease> = persistentMapOf()) {
    /** Returns the term in which this daemon may acknowledge writes of [group] at [nowMillis], or null without a valid lease. */
    public fun termOf(group: GroupId, nowMillis: Long): Term? = leases[group]?.takeIf { nowMillis < it.validUntilMillis }?.term

    /** Returns the term in which a new write of [group] may start at [nowMillis], or null without a valid lease or while it drains. */
    public fun termForNewWrite(group: GroupId, nowMillis: Long): Term? =
        termOf(group, nowMillis)?.takeUnless { leases.getValue(group).isDraining }
}
