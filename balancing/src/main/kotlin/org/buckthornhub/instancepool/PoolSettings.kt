package org.buckthornhub.instancepool

import org.buckthornhub.fleet.ZoneId

/**
 * Settings of the connection pool of a daemon.
 *
 * @property zone availability zone of this daemon
 * @property primaryDrainMillis maximum time for which a leaving primary is still used, until another instance is the primary
 * @property firstRetryMillis pause after the first failed connect; doubles with each further one up to [longestRetryMillis]
 * @property lingerMillis time for which a short-lived connection stays open after use; longer than the interval of position probes
 * @property adaptsToLoad whether instances are chosen by their measured load; otherwise fixed estimates are used
 * @property leavingPriceMillis how many ms shorter a read must be in another zone to be worth sending there
 * @property seed differs from daemon to daemon, so that they don't all choose the same instance at the same time
 */
public data class PoolSettings(
    val zone: ZoneId,
    val primaryDrainMillis: Long = 4_000,
    val firstRetryMillis: Long = 100,
    val longestRetryMillis: Long = 1_600,
    val lingerMillis: Long = 400,
    val adaptsToLoad: Boolean = false,
    val leavingPriceMillis: Long = DEFAULT_LEAVING_PRICE_MILLIS,
    val seed: Long = 0,
) {
    public companion object {
        /** Default of [leavingPriceMillis], in ms. */
        public const val DEFAULT_LEAVING_PRICE_MILLIS: Long = 15
    }
}
