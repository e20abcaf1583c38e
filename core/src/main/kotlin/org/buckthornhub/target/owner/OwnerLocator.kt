package org.buckthornhub.target.owner

import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.DaemonState
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.OwnerPolicy
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.target.TargetEntry

/** Finds the daemon that currently owns a target. */
public class OwnerLocator(
    private val self: VmId,
    private val view: StateSource<FleetView>,
    private val replicated: StateSource<ReplicatedView>,
    private val policy: OwnerPolicy,
) {
    /** Returns the owner of [target]; null if no daemon can own it. A view without daemons means that this daemon runs alone. */
    public fun ownerOf(target: TargetEntry): VmId? {
        val current = view.current()
        if (current.daemons.isEmpty()) return self
        return leaseHolderOf(target, current) ?: policy.ownerOf(target, current)
    }

    // While the ownership and the lease move between daemons, only the lease holder can write.
    private fun leaseHolderOf(target: TargetEntry, current: FleetView): VmId? {
        val leadership = replicated.current().state.leaderships[target.group] ?: return null
        if (leadership.primary != target.target) return null
        return leadership.leaseHolder?.takeIf { isUsable(current, it) }
    }

    private fun isUsable(current: FleetView, vm: VmId): Boolean {
        val state = current.daemons[vm]?.state ?: return false
        return state == DaemonState.ALIVE || state == DaemonState.SUSPECT || state == DaemonState.LEAVING
    }
}
