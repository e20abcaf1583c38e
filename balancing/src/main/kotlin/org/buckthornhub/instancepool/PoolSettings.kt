package org.buckthornhub.instancepool

import org.buckthornhub.fleet.ZoneId

/**
 * Settings of the connection pool of a daemon.
 *
 * @property zone availability zone of this daemon
 * @property primaryDrainMillis maximum time for which a leaving primary is still used, until another instance is the primary
 * @property firstRetryMillis pause after the first failed connect; doubles with each further one up to [longestRetryMillis]
 * @property lingerMillis time for which a short-lived connection stays open after use; longer than the interval of position probes
 */
public data class PoolSettings(
    val zone: ZoneId,
    val primaryDrainMillis: Long = 4_000,
    val firstRetryMillis: Long = 100,
    val longestRetryMillis: Long = 1_600,
    val lingerMillis: Long = 400,
)
