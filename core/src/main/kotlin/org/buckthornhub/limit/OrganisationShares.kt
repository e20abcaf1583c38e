package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId

/** Leases of one organisation's shares by zone, and the newest demand that each zone told. */
public data class OrganisationShares(
    val leases: PersistentMap<ZoneId, PersistentList<GrantedShare>> = persistentMapOf(),
    val demands: PersistentMap<ZoneId, Int> = persistentMapOf(),
) {
    /** Unexpired leases of [zone]; several of one holder overlap after a renewal. */
    public fun leasesOf(zone: ZoneId, nowMillis: Long): PersistentList<GrantedShare> =
        leases[zone]?.removeAll { it.expiresMillis <= nowMillis } ?: persistentListOf()

    /** Parts that are leased to zones other than [zone]; overlapping leases count as the largest. */
    public fun partsElsewhere(zone: ZoneId, nowMillis: Long): Int =
        leases.keys.filter { it != zone }.sumOf { other -> leasesOf(other, nowMillis).maxOfOrNull { it.partsPerMillion } ?: 0 }

    /** These shares with the leases dropped that [holder] takes no more, because it holds one asked for later. */
    public fun confirmed(zone: ZoneId, holder: HolderId, heldAskedMillis: Long, nowMillis: Long): OrganisationShares {
        val left = leasesOf(zone, nowMillis).removeAll { it.holder == holder && it.askedMillis < heldAskedMillis }
        return copy(leases = leases.put(zone, left))
    }
}
