package org.buckthornhub.quota

/**
 * Result of a withdrawal from the reserve.
 *
 * @property reserve reserve after the withdrawal
 * @property tokens number of tokens withdrawn
 * @property retryAfterMillis time in ms until the first of the missing tokens
 * @property spacingMillis time in ms between those tokens
 * @property isLow whether so much of the burst is used that the organisation may be about to exceed its limit
 */
public data class ReserveWithdrawal(
    val reserve: TokenReserve,
    val tokens: Int,
    val retryAfterMillis: Long = 0,
    val spacingMillis: Long = 0,
    val isLow: Boolean = false,
)
