package org.buckthornhub.pool

import org.buckthornhub.statement.TransactionId

/** What a slot of a target is used for. */
public sealed interface ConnectionState {
    /** A connection is being opened. */
    public data object Connecting : ConnectionState

    /** Open, clean and unused since [sinceMillis]; it last answered at [heardMillis]. */
    public data class Idle(
        val sinceMillis: Long,
        val heardMillis: Long = sinceMillis,
    ) : ConnectionState

    /** Is asked whether it still answers; clean and unused since [sinceMillis]. */
    public data class Pinged(val sinceMillis: Long) : ConnectionState

    /** Runs the call named [ticket]. */
    public data class Busy(val ticket: Long) : ConnectionState

    /** Belongs to [transaction] until it ends. */
    public data class Pinned(val transaction: TransactionId) : ConnectionState

    /** Is being closed; the target may still count it. */
    public data object Closing : ConnectionState
}
