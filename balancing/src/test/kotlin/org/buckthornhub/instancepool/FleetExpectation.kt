package org.buckthornhub.instancepool

/**
 * What has to hold with measured load.
 *
 * @property maxMeanOfFixed bound on the mean time of statements, as a fraction of that with the fixed estimate
 * @property maxP95OfFixed bound on the 95th percentile, as a fraction of that with the fixed estimate
 * @property maxLostOfFixed bound on the statements that were not served, as a fraction of those with the fixed estimate
 * @property maxFailedOfFixed bound on the attempts that failed at an instance, as a fraction of those with the fixed estimate
 * @property maxCrossZone bound on the share of reads that leave their zone
 * @property maxReturned bound on that share after the end of the load
 * @property maxHerd bound on the share of the leaving reads of group g0 that go to the same instance
 */
internal data class FleetExpectation(
    val maxMeanOfFixed: Double? = null,
    val maxP95OfFixed: Double? = null,
    val maxLostOfFixed: Double? = null,
    val maxFailedOfFixed: Double? = null,
    val maxCrossZone: Double? = null,
    val maxReturned: Double? = null,
    val maxHerd: Double? = null,
)
