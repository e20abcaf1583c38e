package org.buckthornhub.target.owner

import org.buckthornhub.pool.PoolLimits

/**
 * Limits of the owner of a target.
 *
 * @property queueCapacity calls that may wait for a connection
 * @property silenceMillis a connection that gives no answer for this time is dropped
 * @property acknowledgeMillis time that a write may wait for a second instance
 * @property transactionIdleMillis a transaction unused for this time is rolled back
 * @property transactionTotalMillis a transaction is rolled back after this time in any case
 */
public data class OwnerLimits(
    val queueCapacity: Int = 256,
    val silenceMillis: Long = 1_800,
    val acknowledgeMillis: Long = 1_000,
    val transactionIdleMillis: Long = 10_000,
    val transactionTotalMillis: Long = 60_000,
    val acknowledgement: WriteAcknowledgement = WriteAcknowledgement.SECOND_INSTANCE,
    val pool: PoolLimits = PoolLimits(),
)
