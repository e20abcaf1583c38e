package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** A statement of a session in [state], and the step or error that it must lead to. */
internal data class SessionRuleCase(
    val name: String,
    val state: SessionState,
    val statement: ClientStatement,
    val expected: SessionStep? = null,
    val error: ErrorKind? = null,
    val transactionAfterError: TransactionState? = null,
) {
    override fun toString(): String = name
}
