package org.buckthornhub.connection

/** Where a session stands with its transaction. */
public sealed interface TransactionState {
    public data object None : TransactionState

    /**
     * Begun by the caller, whether a target knows of it or not.
     *
     * @property beganMillis when the caller's begin was read; the age of the data counts from there
     */
    public data class Open(
        val readOnly: Boolean,
        val beganMillis: Long,
        val hasWritten: Boolean = false,
    ) : TransactionState

    /** Rolled back; only its end is accepted. */
    public data object Failed : TransactionState
}
