package org.buckthornhub.horizon

import org.buckthornhub.group.GroupId

/**
 * Chooses the daemons that regularly ask the primary of a group for its commit position; the others learn it from the control leader.
 *
 * Answers the load of a large fleet at rest: if every daemon asked every primary, the questions and the connections for them
 * would grow with the product of daemons and groups, and pass the connections that a primary accepts.
 */
public object ProbeAssignment {
    /** Up to this number of daemons, each of them asks every primary. */
    public const val ALL_UP_TO: Int = 16

    /** Daemons that ask each primary in a larger fleet: enough for a majority that outlives the loss of an availability zone. */
    public const val PER_GROUP: Int = 6

    /** Returns whether the daemon with [rank] among [daemons] asks the primary of [group]. Ranks of neighbours share a zone. */
    public fun isAssigned(group: GroupId, rank: Int, daemons: Int): Boolean {
        if (daemons <= ALL_UP_TO) return true
        return Math.floorMod(rank - group.value.hashCode(), daemons) % (daemons / PER_GROUP) == 0
    }
}
