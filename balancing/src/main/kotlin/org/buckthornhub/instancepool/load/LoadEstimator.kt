package org.buckthornhub.instancepool.load

import org.buckthornhub.fleet.ZoneId

/**
 * Estimates the excess of statements, in ms, from the few statements that one daemon sees at each instance.
 *
 * An instance without recent statements is assumed to be like its zone over all groups; a zone without recent statements is
 * assumed to be calm, or half as overloaded as the own zone, since an overload often covers the fleet.
 */
internal class LoadEstimator(private val home: ZoneId) {
    /** Returns the estimated excess of an instance in [zone]. */
    fun excess(fleet: FleetLoad, instance: InstanceLoad, zone: ZoneId, nowMillis: Long): Double = instance.excess
        .withPrior(zoneExcess(fleet, zone, nowMillis), INSTANCE_PRIOR, InstanceLoad.HALF_LIFE_MILLIS, nowMillis)
        .coerceAtMost(InstanceLoad.REFUSED_MILLIS)

    /** Adds a sample with [excessMillis] in [zone]. */
    fun sampled(fleet: FleetLoad, zone: ZoneId, excessMillis: Double, nowMillis: Long): FleetLoad {
        val known = fleet.zones[zone] ?: DecayingMean()
        val changed = fleet.copy(zones = fleet.zones.put(zone, known.with(excessMillis, ZONE_HALF_LIFE_MILLIS, nowMillis)))
        return if (zone == home) calmed(changed, nowMillis) else changed
    }

    private fun zoneExcess(fleet: FleetLoad, zone: ZoneId, nowMillis: Long): Double {
        val calm = fleet.calmMillis ?: 0.0
        val own = fleet.zones[home]?.withPrior(calm, ZONE_PRIOR, ZONE_HALF_LIFE_MILLIS, nowMillis) ?: calm
        if (zone == home) return own
        val assumed = calm + ((own - calm) * SHARED_OVERLOAD).coerceAtLeast(0.0) + CROSS_ZONE_MILLIS
        return fleet.zones[zone]?.withPrior(assumed, ZONE_PRIOR, ZONE_HALF_LIFE_MILLIS, nowMillis) ?: assumed
    }

    private fun calmed(fleet: FleetLoad, nowMillis: Long): FleetLoad {
        val own = fleet.zones.getValue(home).mean
        val calm = fleet.calmMillis ?: own.coerceAtLeast(0.0)
        val elapsed = (nowMillis - fleet.calmAtMillis).coerceIn(0, MAX_ELAPSED_MILLIS)
        val fraction = if (own < calm) CALM_FALL_FRACTION else elapsed / CALM_RISE_MILLIS
        return fleet.copy(calmMillis = calm + (own - calm) * fraction, calmAtMillis = nowMillis)
    }

    private companion object {
        /** The statements of a zone over all groups are several a second for each daemon; in ms. */
        const val ZONE_HALF_LIFE_MILLIS = 2_000.0

        /** Number of samples that a prior counts as. */
        const val INSTANCE_PRIOR = 2.0
        const val ZONE_PRIOR = 3.0
        const val SHARED_OVERLOAD = 0.5

        /** Round trip to another availability zone, until statements there are measured. */
        const val CROSS_ZONE_MILLIS = 2.0
        const val CALM_FALL_FRACTION = 0.02
        const val CALM_RISE_MILLIS = 30_000.0
        const val MAX_ELAPSED_MILLIS = 1_000L
    }
}
