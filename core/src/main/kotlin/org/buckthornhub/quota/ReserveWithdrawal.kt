package org.buckthornhub.quota

/**
 * Result of a withdrawal from the reserve.
 *
 * @property reserve reserve after the withdrawal
 * @property tokens number of tokens withdrawn
 */
public data class ReserveWithdrawal(
    val reserve: TokenReserve,
    val tokens: Int,
)
