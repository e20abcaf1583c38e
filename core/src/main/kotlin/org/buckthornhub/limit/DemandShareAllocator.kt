package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Allocates in proportion to demand, above a floor of [floorPartsPerMillion] that is divided equally. */
public class DemandShareAllocator(private val floorPartsPerMillion: Int) : ShareAllocator {
    override fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int {
        val count = (zones + zone).size
        val total = demands.values.sumOf { it.toLong() }
        if (total == 0L) return TOTAL_PARTS / count
        val floor = floorPartsPerMillion / count
        return floor + ((TOTAL_PARTS - floorPartsPerMillion) * (demands[zone] ?: 0).toLong() / total).toInt()
    }

    private companion object {
        const val TOTAL_PARTS = 1_000_000
    }
}
