package org.buckthornhub.target.owner

import org.buckthornhub.pool.PoolLimits

/**
 * Limits of the owner of a target.
 *
 * @property queueCapacity maximum number of calls that wait for a connection
 * @property silenceMillis a connection that does not answer a call within this time is closed
 * @property acknowledgeMillis maximum time that a write waits for a second instance to receive it
 * @property transactionIdleMillis a transaction that has been idle for this time is rolled back
 * @property transactionTotalMillis a transaction that has been open for this time is rolled back even if it is in use
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
