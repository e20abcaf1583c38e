package org.buckthornhub.failover

/**
 * Timeouts of failovers.
 *
 * @property withoutPrimaryMillis time without a primary in the directory after which a group gets a new one: two announcement
 * periods of an instance
 * @property surveyMillis time that candidates have to answer: several round trips between availability zones and the wait
 * for a busy slot
 * @property isFencedByPlatform whether the old primary loses its role at the moment of the promotion; otherwise the control leader
 * makes sure first that no daemon uses it any more
 * @property settleMillis time that a promoted instance has to announce itself; a promotion takes several hundred ms
 */
public data class FailoverSettings(
    val withoutPrimaryMillis: Long = 2_500,
    val surveyMillis: Long = 400,
    val settleMillis: Long = 3_000,
    val isFencedByPlatform: Boolean = true,
)
