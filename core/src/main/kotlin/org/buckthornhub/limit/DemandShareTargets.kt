package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Parts in proportion to demand, above a floor of [floorPartsPerMillion] divided equally. */
public class DemandShareTargets(private val floorPartsPerMillion: Int) : ShareTargets {
    override fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int {
        val count = (zones + zone).size
        val total = demands.values.sumOf { it.toLong() }
        if (total == 0L) return WHOLE / count
        val floor = floorPartsPerMillion / count
        return floor + ((WHOLE - floorPartsPerMillion) * (demands[zone] ?: 0).toLong() / total).toInt()
    }

    private companion object {
        const val WHOLE = 1_000_000
    }
}
