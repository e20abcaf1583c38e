package org.buckthornhub.coordination

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId

/**
 * Leases of daemons for the use of primaries, as the control leader knows them.
 *
 * A daemon uses primaries only for [LEASE_MILLIS] after it sent a report that the leader answered, so a daemon that is cut off,
 * frozen or gone loses the right by itself.
 */
public data class PrimaryLeases(private val held: PersistentMap<VmId, PrimaryLease> = persistentMapOf()) {
    /** Records a report of [vm] that arrived at [nowMillis] and obeys the designations of [revision]. */
    public fun with(vm: VmId, revision: Long, nowMillis: Long): PrimaryLeases =
        PrimaryLeases(held.put(vm, PrimaryLease(revision, nowMillis)))

    /** Returns the newest revision of designations that every daemon with a lease obeys; null if no daemon has one. */
    public fun obeyedRevision(nowMillis: Long): Long? =
        held.values.filter { nowMillis - it.reportedMillis <= LEASE_MILLIS }.minOfOrNull { it.revision }

    /** Removes leases that have expired. */
    public fun pruned(nowMillis: Long): PrimaryLeases {
        val expired = held.filterValues { nowMillis - it.reportedMillis > LEASE_MILLIS }.keys
        return if (expired.isEmpty()) this else PrimaryLeases(expired.fold(held) { map, vm -> map.remove(vm) })
    }

    public companion object {
        /** Duration of a lease on the leader's clock, in ms: longer than an election, and bounds the wait of a failover. */
        public const val LEASE_MILLIS: Long = 2_000

        /** Duration of a lease on the daemon's clock, in ms; less by the drift of two clocks over that time. */
        public const val HOLDER_LEASE_MILLIS: Long = LEASE_MILLIS - 100
    }
}
