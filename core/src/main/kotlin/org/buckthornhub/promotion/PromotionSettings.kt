package org.buckthornhub.promotion

import org.buckthornhub.lease.LeaseSettings

/**
 * Times and rules of promotions.
 *
 * @property silentMillis a primary whose owner has not been heard of for so long is replaced
 * @property firstMillis how long a control leader listens before it records the first primary of a group
 * @property surveyMillis time between two surveys of the same promotion
 * @property catchUpMillis time between two surveys while a planned change waits for the replica
 * @property repeatMillis time between two tries of the same commit or order
 * @property planLimitMillis a planned change that takes longer is abandoned
 * @property planRestMillis time before a change that was abandoned is tried again by itself
 * @property orderLimitMillis a target that does not take its promotion for so long is replaced
 * @property forgetMillis an instance that nobody has reported for so long is no longer counted
 * @property instances instances of a group, even if fewer have been seen so far
 * @property requireMajority false promotes a replica even if acknowledged writes may be on an instance that can't be seen
 */
public data class PromotionSettings(
    val lease: LeaseSettings = LeaseSettings(),
    val silentMillis: Long = 2_500,
    val firstMillis: Long = 1_000,
    val surveyMillis: Long = 100,
    val catchUpMillis: Long = 5,
    val repeatMillis: Long = 300,
    val planLimitMillis: Long = 2_000,
    val planRestMillis: Long = 10_000,
    val orderLimitMillis: Long = 2_000,
    val forgetMillis: Long = 60_000,
    val instances: Int = 3,
    val requireMajority: Boolean = true,
)
