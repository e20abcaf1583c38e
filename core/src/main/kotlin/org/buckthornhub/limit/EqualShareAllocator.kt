package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Allocates equal shares to all zones. */
public class EqualShareAllocator : ShareAllocator {
    override fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int = TOTAL_PARTS / (zones + zone).size

    private companion object {
        const val TOTAL_PARTS = 1_000_000
    }
}
