package org.buckthornhub.promotion

import org.buckthornhub.lease.LeaseSettings

/**
 * Timeouts and rules of promotions.
 *
 * @property ownerTimeoutMillis time without a renewal from the owner of a primary after which the primary is replaced
 * @property firstPrimaryDelayMillis how long a control leader collects reports before it records the first primary of a group
 * @property surveyIntervalMillis time between two surveys of the same promotion
 * @property catchUpIntervalMillis time between two surveys while a switchover waits for the replica to catch up
 * @property retryIntervalMillis time between two attempts of the same commit or order
 * @property switchoverTimeoutMillis time after which an incomplete switchover is abandoned
 * @property switchoverPauseMillis time before an abandoned switchover from a leaving primary is attempted again
 * @property orderTimeoutMillis time after which a target that has not confirmed its promotion is replaced
 * @property targetExpiryMillis time without a report after which an instance no longer counts as part of its group
 * @property groupSize minimum number of instances assumed for a group, even if fewer have been reported
 * @property requireMajority false promotes a replica even if an unreachable instance may hold newer acknowledged writes
 */
public data class PromotionSettings(
    val lease: LeaseSettings = LeaseSettings(),
    val ownerTimeoutMillis: Long = 2_500,
    val firstPrimaryDelayMillis: Long = 1_000,
    val surveyIntervalMillis: Long = 100,
    val catchUpIntervalMillis: Long = 5,
    val retryIntervalMillis: Long = 300,
    val switchoverTimeoutMillis: Long = 2_000,
    val switchoverPauseMillis: Long = 10_000,
    val orderTimeoutMillis: Long = 2_000,
    val targetExpiryMillis: Long = 60_000,
    val groupSize: Int = 3,
    val requireMajority: Boolean = true,
)
