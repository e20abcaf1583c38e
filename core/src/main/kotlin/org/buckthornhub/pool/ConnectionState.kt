package org.buckthornhub.pool

import org.buckthornhub.statement.TransactionId

/** State of the connection in one slot of a target. */
public sealed interface ConnectionState {
    /** The connection is being opened. */
    public data object Connecting : ConnectionState

    /** The connection is open, has no transaction, and is unused since [sinceMillis]; it last answered at [lastAnswerMillis]. */
    public data class Idle(
        val sinceMillis: Long,
        val lastAnswerMillis: Long = sinceMillis,
    ) : ConnectionState

    /** A ping is in flight on the otherwise idle connection, which is unused since [sinceMillis]. */
    public data class Pinging(val sinceMillis: Long) : ConnectionState

    /** The connection runs the call [ticket]. */
    public data class Busy(val ticket: Long) : ConnectionState

    /** The connection is reserved for [transaction] until that ends. */
    public data class Pinned(val transaction: TransactionId) : ConnectionState

    /** The connection is being closed; the target may still count it. */
    public data object Closing : ConnectionState
}
