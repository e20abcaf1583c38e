package org.buckthornhub.standin.instance

/**
 * Settings that are fixed while an instance runs.
 *
 * @property idleMillis idle timeout after which a connection is closed
 * @property idleTransactionMillis idle timeout while a transaction is open; the transaction is rolled back
 */
public data class InstanceSettings(
    val slots: Int = 3,
    val receiveLagMillis: Long = 0,
    val applyLagMillis: Long = 0,
    val idleMillis: Long = 3_000,
    val idleTransactionMillis: Long = 10_000,
)
