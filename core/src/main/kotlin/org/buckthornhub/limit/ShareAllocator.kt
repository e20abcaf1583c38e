package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Determines the share of an organisation's limit that each zone should have. */
public fun interface ShareAllocator {
    /**
     * Returns the share of [zone] in parts per million.
     *
     * @param demands latest demand of each zone that claims a share
     */
    public fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int
}
