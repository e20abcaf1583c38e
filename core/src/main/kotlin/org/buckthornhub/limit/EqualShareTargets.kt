package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Equal parts for all zones. */
public class EqualShareTargets : ShareTargets {
    override fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int = WHOLE / (zones + zone).size

    private companion object {
        const val WHOLE = 1_000_000
    }
}
