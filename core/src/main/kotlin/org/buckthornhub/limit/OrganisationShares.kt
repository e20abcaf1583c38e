package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId

/**
 * Leases of one organisation's shares by zone, and the newest demand that each zone told.
 *
 * @property layoutParts the size that all shares have had since [layoutSinceMillis]
 * @property ends when the last lease of each zone ended or will end
 */
public data class OrganisationShares(
    val leases: PersistentMap<ZoneId, PersistentList<GrantedShare>> = persistentMapOf(),
    val demands: PersistentMap<ZoneId, Int> = persistentMapOf(),
    val layoutParts: Int = 0,
    val layoutSinceMillis: Long = 0,
    val ends: PersistentMap<ZoneId, Long> = persistentMapOf(),
) {
    /** Unexpired leases of [zone]; several of one holder overlap after a renewal. */
    public fun leasesOf(zone: ZoneId, nowMillis: Long): PersistentList<GrantedShare> =
        leases[zone]?.removeAll { it.expiresMillis <= nowMillis } ?: persistentListOf()

    /** These shares with [lease] granted to [zone]. */
    public fun granted(zone: ZoneId, lease: GrantedShare, unheldSinceMillis: Long, nowMillis: Long): OrganisationShares {
        val parts = lease.partsPerMillion
        val laidOut = if (hasPlaceFor(zone, parts)) this else relaidOut(parts, unheldSinceMillis)
        return laidOut.copy(
            leases = leases.put(zone, leasesOf(zone, nowMillis).add(lease)),
            ends = laidOut.ends.put(zone, maxOf(laidOut.ends[zone] ?: lease.expiresMillis, lease.expiresMillis)),
        )
    }

    /**
     * For how long the share of [zone] with [parts] was in nobody's hands at [nowMillis], in ms.
     *
     * Only shares of one size are told apart by zone, and only while there is room for all of them: after a change of
     * size, or when a zone takes the place of another, all count from the end of the last old lease.
     */
    public fun unheldMillis(zone: ZoneId, parts: Int, unheldSinceMillis: Long, nowMillis: Long): Long {
        val laidOut = if (hasPlaceFor(zone, parts)) this else relaidOut(parts, unheldSinceMillis)
        val since = laidOut.ends[zone] ?: laidOut.layoutSinceMillis
        return (nowMillis - since).coerceAtLeast(0)
    }

    private fun hasPlaceFor(zone: ZoneId, parts: Int): Boolean = parts == layoutParts && (zone in ends || (ends.size + 1L) * parts <= WHOLE)

    private fun relaidOut(parts: Int, unheldSinceMillis: Long): OrganisationShares {
        val earlierMillis = if (layoutParts > 0) layoutSinceMillis else unheldSinceMillis
        return copy(
            layoutParts = parts,
            layoutSinceMillis = maxOf(ends.values.maxOrNull() ?: earlierMillis, earlierMillis),
            ends = persistentMapOf(),
        )
    }

    /** Parts that are leased to zones other than [zone]; overlapping leases count as the largest. */
    public fun partsElsewhere(zone: ZoneId, nowMillis: Long): Int =
        leases.keys.filter { it != zone }.sumOf { other -> leasesOf(other, nowMillis).maxOfOrNull { it.partsPerMillion } ?: 0 }

    /** These shares with the leases dropped that [holder] takes no more, because it holds one asked for later. */
    public fun confirmed(zone: ZoneId, holder: HolderId, heldAskedMillis: Long, nowMillis: Long): OrganisationShares {
        val left = leasesOf(zone, nowMillis).removeAll { it.holder == holder && it.askedMillis < heldAskedMillis }
        return copy(leases = leases.put(zone, left))
    }

    private companion object {
        const val WHOLE = 1_000_000
    }
}
