package org.buckthornhub.horizon

import org.buckthornhub.statement.Access

/** A statement that an instance has answered with success, as far as the answer tells whether the instance was the primary. */
public sealed interface AnsweredStatement {
    /**
     * Whether only a primary gives this answer, so that its position covers every commit acknowledged before the statement was sent.
     *
     * An instance that has lost the lead refuses what is read-write, but not the end of a transaction that has nothing to keep.
     */
    public val provesPrimary: Boolean

    public data class Begin(val readOnly: Boolean) : AnsweredStatement {
        override val provesPrimary: Boolean get() = !readOnly
    }

    /** A read or write in a transaction of the given [mode]. */
    public data class Work(
        val access: Access,
        val mode: TransactionMode,
    ) : AnsweredStatement {
        override val provesPrimary: Boolean get() = access == Access.WRITE || mode == TransactionMode.READ_WRITE
    }

    /** @property hasWritten whether a write has succeeded in the transaction */
    public data class Commit(val hasWritten: Boolean) : AnsweredStatement {
        override val provesPrimary: Boolean get() = hasWritten
    }

    public data object RollBack : AnsweredStatement {
        override val provesPrimary: Boolean get() = false
    }

    /** Session values, prepared statements, the status, and the start of a connection: every instance answers these. */
    public data object Other : AnsweredStatement {
        override val provesPrimary: Boolean get() = false
    }
}
