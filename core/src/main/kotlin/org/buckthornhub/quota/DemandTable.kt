package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId

/** Latest demand of each daemon, from which the organisations' limits are divided among the daemons. */
public data class DemandTable(val reports: PersistentMap<VmId, TimedDemand> = persistentMapOf()) {
    public fun with(vm: VmId, report: DemandReport, nowMillis: Long): DemandTable =
        DemandTable(reports.put(vm, TimedDemand(report, nowMillis)))

    /** Removes the daemons without a report for [RETENTION_MILLIS], which can no longer use their share. */
    public fun pruned(nowMillis: Long): DemandTable {
        val old = reports.filterValues { nowMillis - it.atMillis > RETENTION_MILLIS }.keys
        return if (old.isEmpty()) this else DemandTable(old.fold(reports) { map, vm -> map.remove(vm) })
    }

    /**
     * Returns the share of each organisation's limit, without the reserve, that [vm] may use on its own.
     *
     * In a fleet that is too large for shares it is empty: the reserve holds the whole limit. Otherwise the shares of all daemons
     * add up to 1. A daemon that does not report keeps its share, as it may still serve callers.
     */
    public fun sharesOf(vm: VmId, organisations: Collection<OrganisationId>): Map<OrganisationId, Double> =
        if (reports.size > LimitDivision.SPLIT_UP_TO) {
            emptyMap()
        } else {
            organisations.associateWith { if (vm in reports) fractionOf(vm, it) else 1.0 / (reports.size + 1) }
        }

    /** Returns the rank of [vm] in the order of VM names, starting at 0. */
    public fun rankOf(vm: VmId): Int = reports.keys.count { it.value < vm.value }

    private fun fractionOf(vm: VmId, organisation: OrganisationId): Double {
        val total = reports.values.sumOf { it.report.perSecond[organisation] ?: 0.0 }
        if (total <= 0) return 1.0 / reports.size
        val own = reports[vm]?.report?.perSecond?.get(organisation) ?: 0.0
        return EVEN_FRACTION / reports.size + (1 - EVEN_FRACTION) * own / total
    }

    private companion object {
        /** Fraction that is divided evenly, so that a new caller finds tokens at any daemon. */
        const val EVEN_FRACTION = 0.25

        /** Time in ms without a report; longer than the 5 s after which a partitioned daemon stops serving keys at the latest. */
        const val RETENTION_MILLIS = 6_000L
    }
}
