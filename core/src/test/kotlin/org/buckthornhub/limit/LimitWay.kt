package org.buckthornhub.limit

import org.buckthornhub.fleet.ZoneId

/** The three ways that were weighed, built from the same deciders. */
internal enum class LimitWay(
    val targets: ShareTargets,
    val isShareByVm: Boolean,
    val leaseMillis: Long,
) {
    STATIC_SPLIT(EqualShareTargets(), isShareByVm = true, leaseMillis = 10_000),
    LEASED_BY_DEMAND(DemandShareTargets(floorPartsPerMillion = 200_000), isShareByVm = true, leaseMillis = 1_000),
    ASK_ON_EMPTY(EqualShareTargets(), isShareByVm = false, leaseMillis = 10_000),
    ;

    fun shareZone(zone: ZoneId, vm: Int): ZoneId = if (isShareByVm) ZoneId("vm$vm") else zone
}
