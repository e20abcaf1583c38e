package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** The compared strategies to divide a limit over the fleet, built from the same deciders. */
internal enum class LimitStrategy(
    val allocator: ShareAllocator,
    val isShareByVm: Boolean,
    val leaseMillis: Long,
) {
    STATIC_SPLIT(EqualShareAllocator(), isShareByVm = true, leaseMillis = 10_000),
    LEASED_BY_DEMAND(DemandShareAllocator(floorPartsPerMillion = 200_000), isShareByVm = true, leaseMillis = 1_000),
    ASK_ON_EMPTY(EqualShareAllocator(), isShareByVm = false, leaseMillis = 10_000),
    ;

    fun shareZone(zone: ZoneId, vm: Int): ZoneId = if (isShareByVm) ZoneId("vm$vm") else zone
}
