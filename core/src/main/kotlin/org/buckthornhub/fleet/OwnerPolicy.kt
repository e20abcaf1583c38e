package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** Selects the one daemon that opens connections to a target. Daemons with the same view select the same one. */
public fun interface OwnerPolicy {
    /** Returns the owner of [target]; null if no daemon of its zone is alive. */
    public fun ownerOf(target: TargetEntry, view: FleetView): VmId?
}
