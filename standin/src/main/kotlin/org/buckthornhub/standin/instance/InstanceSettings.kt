package org.buckthornhub.standin.instance

/**
 * What does not change while an instance runs.
 *
 * @property idleMillis a connection without a request for so long is closed
 * @property idleTransactionMillis the same while a transaction is open; it is rolled back
 */
public data class InstanceSettings(
    val slots: Int = 3,
    val receiveLagMillis: Long = 0,
    val applyLagMillis: Long = 0,
    val idleMillis: Long = 3_000,
    val idleTransactionMillis: Long = 10_000,
)
