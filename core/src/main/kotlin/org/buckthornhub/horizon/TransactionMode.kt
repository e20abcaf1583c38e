package org.buckthornhub.horizon

/** The transaction in which an instance runs a statement. */
public enum class TransactionMode {
    /** The statement runs alone. */
    NONE,

    READ_ONLY,

    READ_WRITE,
}
