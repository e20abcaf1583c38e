package org.buckthornhub.instancepool

import org.buckthornhub.fleet.ZoneId

/**
 * @property zone of this daemon
 * @property leaderDrainMillis how long a leaving primary is still used, if no other leads before
 * @property firstRetryMillis pause after a failed connect; doubles up to [longestRetryMillis]
 */
public data class PoolSettings(
    val zone: ZoneId,
    val leaderDrainMillis: Long = 4_000,
    val firstRetryMillis: Long = 100,
    val longestRetryMillis: Long = 1_600,
)
