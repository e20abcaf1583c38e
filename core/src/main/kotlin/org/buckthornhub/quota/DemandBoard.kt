package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId

/** The newest demand of each daemon, by which the limits of organisations are divided among them. */
public data class DemandBoard(val reports: PersistentMap<VmId, TimedDemand> = persistentMapOf()) {
    public fun with(vm: VmId, report: DemandReport, nowMillis: Long): DemandBoard =
        DemandBoard(reports.put(vm, TimedDemand(report, nowMillis)))

    /** Forgets daemons whose part has surely run out. */
    public fun pruned(nowMillis: Long): DemandBoard {
        val old = reports.filterValues { nowMillis - it.atMillis > KEPT_MILLIS }.keys
        return if (old.isEmpty()) this else DemandBoard(old.fold(reports) { map, vm -> map.remove(vm) })
    }

    /**
     * The part of each organisation's limit that [vm] may use without asking, of what the reserve leaves.
     *
     * The parts of all daemons add up to 1. One that is not heard keeps its part, as it may still serve callers.
     */
    public fun sharesOf(vm: VmId, organisations: Collection<OrganisationId>): Map<OrganisationId, Double> =
        organisations.associateWith { if (vm in reports) partOf(vm, it) else 1.0 / (reports.size + 1) }

    /** The place of [vm] among the daemons, from 0 on. */
    public fun rankOf(vm: VmId): Int = reports.keys.count { it.value < vm.value }

    private fun partOf(vm: VmId, organisation: OrganisationId): Double {
        val total = reports.values.sumOf { it.report.perSecond[organisation] ?: 0.0 }
        if (total <= 0) return 1.0 / reports.size
        val own = reports[vm]?.report?.perSecond?.get(organisation) ?: 0.0
        return EVEN_PART / reports.size + (1 - EVEN_PART) * own / total
    }

    private companion object {
        /** The part that is divided evenly, so that a new caller finds some anywhere. */
        const val EVEN_PART = 0.25

        /** A daemon that is cut off stops serving keys after 5 s at the latest; until then its part stays its own. In ms. */
        const val KEPT_MILLIS = 6_000L
    }
}
