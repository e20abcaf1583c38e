package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** Chooses the part of an organisation's limit that a zone should have. */
public fun interface ShareTargets {
    /**
     * Answers parts per million.
     *
     * @param demands newest demand of each zone that claims the organisation
     */
    public fun partsOf(zone: ZoneId, zones: Set<ZoneId>, demands: Map<ZoneId, Int>): Int
}
