package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId

/** The newest demand of each daemon, from which the limits of organisations are divided among them. */
public data class DemandBoard(val reports: PersistentMap<VmId, TimedDemand> = persistentMapOf()) {
    public fun with(vm: VmId, report: DemandReport, nowMillis: Long): DemandBoard =
        DemandBoard(reports.put(vm, TimedDemand(report, nowMillis)))

    /** Forgets daemons whose part has surely run out. */
    public fun pruned(nowMillis: Long): DemandBoard {
        val old = reports.filterValues { nowMillis - it.atMillis > KEPT_MILLIS }.keys
        return if (old.isEmpty()) this else DemandBoard(old.fold(reports) { map, vm -> map.remove(vm) })
    }

    /** The part of each organisation's limit that [vm] may use; the parts of all daemons add up to 1. */
    public fun sharesOf(vm: VmId, organisations: Collection<OrganisationId>): Map<OrganisationId, Double> =
        organisations.associateWith { shareOf(vm, it) }

    private fun shareOf(vm: VmId, organisation: OrganisationId): Double {
        val count = maxOf(reports.size, 1)
        val total = reports.values.sumOf { it.report.perSecond[organisation] ?: 0.0 }
        if (total <= 0) return 1.0 / count
        val own = reports[vm]?.report?.perSecond?.get(organisation) ?: 0.0
        return EVEN_PART / count + (1 - EVEN_PART) * own / total
    }

    private companion object {
        /** The part that is divided evenly, so that a new caller finds some anywhere. */
        const val EVEN_PART = 0.25

        /** A daemon that is cut off stops serving keys after 5 s at the latest; until then its part stays its own. In ms. */
        const val KEPT_MILLIS = 6_000L
    }
}
