package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId

/**
 * Leases of one organisation's shares by zone, and the latest demand reported by each zone.
 *
 * @property layoutPartsPerMillion size of every share since [layoutSinceMillis]
 * @property leaseEnds end of the last lease of each zone, in the past or the future
 */
public data class OrganisationShares(
    val leases: PersistentMap<ZoneId, PersistentList<ShareLease>> = persistentMapOf(),
    val demands: PersistentMap<ZoneId, Int> = persistentMapOf(),
    val layoutPartsPerMillion: Int = 0,
    val layoutSinceMillis: Long = 0,
    val leaseEnds: PersistentMap<ZoneId, Long> = persistentMapOf(),
) {
    /** Returns the unexpired leases of [zone]; leases of one holder overlap after a renewal. */
    public fun leasesOf(zone: ZoneId, nowMillis: Long): PersistentList<ShareLease> =
        leases[zone]?.removeAll { it.expiresMillis <= nowMillis } ?: persistentListOf()

    /** Returns these shares with [lease] granted to [zone]. */
    public fun granted(zone: ZoneId, lease: ShareLease, unleasedSinceMillis: Long, nowMillis: Long): OrganisationShares {
        val parts = lease.partsPerMillion
        val fitted = if (fitsLayout(zone, parts)) this else withLayout(parts, unleasedSinceMillis)
        return fitted.copy(
            leases = leases.put(zone, leasesOf(zone, nowMillis).add(lease)),
            leaseEnds = fitted.leaseEnds.put(zone, maxOf(fitted.leaseEnds[zone] ?: lease.expiresMillis, lease.expiresMillis)),
        )
    }

    /**
     * Returns for how long, in ms at [nowMillis], the share of [zone] with [parts] was not leased.
     *
     * The time is tracked per zone only while all shares have the same size and together fit the limit. After a change
     * of size, or when a zone replaces another one, it counts from the end of the last lease of the earlier layout.
     */
    public fun unleasedMillis(zone: ZoneId, parts: Int, unleasedSinceMillis: Long, nowMillis: Long): Long {
        val fitted = if (fitsLayout(zone, parts)) this else withLayout(parts, unleasedSinceMillis)
        val since = fitted.leaseEnds[zone] ?: fitted.layoutSinceMillis
        return (nowMillis - since).coerceAtLeast(0)
    }

    private fun fitsLayout(zone: ZoneId, parts: Int): Boolean =
        parts == layoutPartsPerMillion && (zone in leaseEnds || (leaseEnds.size + 1L) * parts <= TOTAL_PARTS)

    private fun withLayout(parts: Int, unleasedSinceMillis: Long): OrganisationShares {
        val earlierMillis = if (layoutPartsPerMillion > 0) layoutSinceMillis else unleasedSinceMillis
        return copy(
            layoutPartsPerMillion = parts,
            layoutSinceMillis = maxOf(leaseEnds.values.maxOrNull() ?: earlierMillis, earlierMillis),
            leaseEnds = persistentMapOf(),
        )
    }

    /** Returns the parts leased to zones other than [zone]; of overlapping leases, only the largest counts. */
    public fun partsOfOtherZones(zone: ZoneId, nowMillis: Long): Int =
        leases.keys.filter { it != zone }.sumOf { other -> leasesOf(other, nowMillis).maxOfOrNull { it.partsPerMillion } ?: 0 }

    /** Drops the leases that [holder] no longer accepts, because it holds one that it requested later. */
    public fun confirmed(zone: ZoneId, holder: HolderId, heldRequestedMillis: Long, nowMillis: Long): OrganisationShares {
        val left = leasesOf(zone, nowMillis).removeAll { it.holder == holder && it.requestedMillis < heldRequestedMillis }
        return copy(leases = leases.put(zone, left))
    }

    private companion object {
        const val TOTAL_PARTS = 1_000_000
    }
}
