package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry

/** Chooses the one daemon that opens connections to a target; every daemon with the same view chooses the same. */
public fun interface OwnerPolicy {
    /** Null if no daemon of the target's zone is alive. */
    public fun ownerOf(target: TargetEntry, view: FleetView): VmId?
}
