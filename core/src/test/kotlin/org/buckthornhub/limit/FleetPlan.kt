package org.buckthornhub.limit

/** A simulated fleet and what happens to it. */
internal data class FleetPlan(
    val seed: Int,
    val way: LimitWay = LimitWay.ASK_ON_EMPTY,
    val vms: Int = 8,
    val zones: Int = 4,
    val limits: List<RateLimit>,
    val timing: LimitTiming = LimitTiming(leaseMillis = way.leaseMillis),
    val renewMillis: Long = timing.leaseMillis / 4,
    val faults: FaultPlan = FaultPlan(),
)
