package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/**
 * The leases that one control leader has granted, in memory only.
 *
 * A control leader does not know what the one before it granted. It therefore waits one whole lease from its election
 * before it grants a group that it has no record of, except to a holder that says that it still counts on the lease:
 * at most one does at any time.
 *
 * @property sinceMillis when this control leader was elected
 * @property sequences last request of each holder
 */
public data class GrantTable(
    val controlTerm: Long = 0,
    val sinceMillis: Long = 0,
    val grants: PersistentMap<GroupId, Grant> = persistentMapOf(),
    val sequences: PersistentMap<HolderId, Long> = persistentMapOf(),
) {
    /** True if surely nobody counts on a lease of [group] at [atMillis], nor will without a new grant. */
    public fun isFree(group: GroupId, atMillis: Long, settings: LeaseSettings): Boolean {
        val untilMillis = grants[group]?.untilMillis ?: (sinceMillis + settings.granterMillis)
        return grants[group]?.holder.let { it == null && group in grants } || atMillis >= untilMillis
    }

    /** True if [request] is the newest of its holder, and meant for this control leader. */
    public fun isCurrent(request: RenewRequest): Boolean =
        request.controlTerm == controlTerm && request.sequence > (sequences[request.holder] ?: 0)

    /** This table with the releases of [request]; call it once for each current request. */
    public fun released(request: RenewRequest): GrantTable = request.released
        .filter { grants[it.group]?.holder == request.holder && grants.getValue(it.group).term <= it.term }
        .fold(copy(sequences = sequences.put(request.holder, request.sequence))) { table, lease ->
            table.copy(grants = table.grants.put(lease.group, Grant(null, lease.term, sinceMillis)))
        }

    /**
     * True if [claim] of [holder] may be granted.
     *
     * @param confirmedFromMillis when the confirmation of the leadership began: whoever may have been granted a lease by a
     * later control leader was not before then
     */
    public fun isGrantable(holder: HolderId, claim: LeaseClaim, confirmedFromMillis: Long, settings: LeaseSettings): Boolean {
        val group = claim.lease.group
        val isOwn = grants[group]?.holder == holder || claim.held && group !in grants
        return isOwn || isFree(group, confirmedFromMillis, settings)
    }

    /** This table with [lease] granted to [holder] at [nowMillis]. */
    public fun granted(holder: HolderId, lease: GroupTerm, nowMillis: Long, settings: LeaseSettings): GrantTable =
        copy(grants = grants.put(lease.group, Grant(holder, lease.term, nowMillis + settings.granterMillis)))
}
