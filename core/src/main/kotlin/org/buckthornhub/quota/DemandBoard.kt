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

    /**
     * The part of each organisation's limit that [vm] may use; the parts that daemons may use add up to at most 1.
     *
     * A daemon that has not been heard for a while uses only [SILENT_PART] of its own part, and the others get the rest.
     */
    public fun sharesOf(vm: VmId, organisations: Collection<OrganisationId>, nowMillis: Long): Map<OrganisationId, Double> =
        organisations.associateWith { organisation ->
            val parts = reports.keys.associateWith { partOf(it, organisation) }
            val silent = parts.filterKeys { isSilent(it, nowMillis) }.values.sum()
            val others = parts.values.sum() - silent
            val own = parts[vm] ?: (1.0 / (reports.size + 1))
            if (isSilent(vm, nowMillis) || others <= 0) own else own * (1 - silent * SILENT_PART) / others
        }

    private fun isSilent(vm: VmId, nowMillis: Long): Boolean = reports[vm]?.let { nowMillis - it.atMillis > SILENT_MILLIS } ?: false

    private fun partOf(vm: VmId, organisation: OrganisationId): Double {
        val total = reports.values.sumOf { it.report.perSecond[organisation] ?: 0.0 }
        if (total <= 0) return 1.0 / reports.size
        val own = reports[vm]?.report?.perSecond?.get(organisation) ?: 0.0
        return EVEN_PART / reports.size + (1 - EVEN_PART) * own / total
    }

    public companion object {
        /** What a daemon that has heard nothing lately may use of its part; it serves few callers then. */
        public const val SILENT_PART: Double = 0.3

        /** From this age of its newest proof a daemon takes itself to be silent; in ms. */
        public const val SELF_SILENT_MILLIS: Long = 1_000

        /** The leader is later to think so than the daemon itself, whose proof is older than its report. In ms. */
        private const val SILENT_MILLIS = 1_500L

        /** The part that is divided evenly, so that a new caller finds some anywhere. */
        private const val EVEN_PART = 0.25

        /** A daemon that is cut off stops serving keys after 5 s at the latest; until then its part stays its own. In ms. */
        private const val KEPT_MILLIS = 6_000L
    }
}
