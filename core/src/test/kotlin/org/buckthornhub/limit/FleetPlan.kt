package org.buckthornhub.limit

/** Configuration of a simulated fleet, with its faults. */
internal data class FleetPlan(
    val seed: Int,
    val strategy: LimitStrategy = LimitStrategy.ASK_ON_EMPTY,
    val vms: Int = 8,
    val zones: Int = 4,
    val limits: List<RateLimit>,
    val timing: LimitTiming = LimitTiming(leaseMillis = strategy.leaseMillis),
    val renewMillis: Long = timing.leaseMillis / 4,
    val faults: FaultPlan = FaultPlan(),
)
