package org.buckthornhub.connection

/** Transaction state of a session. */
public sealed interface TransactionState {
    public data object None : TransactionState

    /**
     * The caller has begun a transaction; the begin may not have been sent to a target yet.
     *
     * @property beganMillis local monotonic time at which the caller's begin was read; data age is measured from it
     */
    public data class Open(
        val readOnly: Boolean,
        val beganMillis: Long,
        val hasWritten: Boolean = false,
    ) : TransactionState

    /** The transaction was rolled back after an error; only a commit or a rollback is accepted. */
    public data object Failed : TransactionState
}
