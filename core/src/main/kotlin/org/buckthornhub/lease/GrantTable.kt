package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId

/**
 * Leases granted by one control leader; they are kept in memory only.
 *
 * A control leader has no record of the leases granted by its predecessor. For a group without a record it therefore
 * waits one full lease after its election, unless the claimant reports that it still holds the lease: at most one
 * daemon holds the lease of a group at any time.
 *
 * @property sinceMillis when this control leader was elected
 * @property lastSequences sequence number of the last request of each holder
 */
public data class GrantTable(
    val controlTerm: Long = 0,
    val sinceMillis: Long = 0,
    val grants: PersistentMap<GroupId, Grant> = persistentMapOf(),
    val lastSequences: PersistentMap<HolderId, Long> = persistentMapOf(),
) {
    /** True if no holder can have a valid lease of [group] at [atMillis] or later without a new grant. */
    public fun isFree(group: GroupId, atMillis: Long, settings: LeaseSettings): Boolean {
        val untilMillis = grants[group]?.untilMillis ?: (sinceMillis + settings.granterMillis)
        return grants[group]?.holder.let { it == null && group in grants } || atMillis >= untilMillis
    }

    /** True if [request] is newer than every earlier request of its holder, and addressed to this control leader. */
    public fun isCurrent(request: RenewRequest): Boolean =
        request.controlTerm == controlTerm && request.sequence > (lastSequences[request.holder] ?: 0)

    /** Returns this table with the releases of [request] applied; must be called once for each current request. */
    public fun released(request: RenewRequest): GrantTable = request.released
        .filter { grants[it.group]?.holder == request.holder && grants.getValue(it.group).term <= it.term }
        .fold(copy(lastSequences = lastSequences.put(request.holder, request.sequence))) { table, lease ->
            table.copy(grants = table.grants.put(lease.group, Grant(null, lease.term, sinceMillis)))
        }

    /**
     * True if [claim] of [holder] may be granted.
     *
     * @param confirmedFromMillis when the confirmation of this control leader's term started; no later control leader
     * can have granted a lease before then
     */
    public fun isGrantable(holder: HolderId, claim: LeaseClaim, confirmedFromMillis: Long, settings: LeaseSettings): Boolean {
        val group = claim.lease.group
        val isOwn = grants[group]?.holder == holder || claim.held && group !in grants
        return isOwn || isFree(group, confirmedFromMillis, settings)
    }

    /** Returns this table with [lease] granted to [holder] at [nowMillis]. */
    public fun granted(holder: HolderId, lease: GroupTerm, nowMillis: Long, settings: LeaseSettings): GrantTable =
        copy(grants = grants.put(lease.group, Grant(holder, lease.term, nowMillis + settings.granterMillis)))
}
