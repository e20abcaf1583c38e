package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** One statement of a session in some state, and what it has to lead to. */
internal data class SessionRuleCase(
    val name: String,
    val state: SessionState,
    val statement: ClientStatement,
    val expected: SessionStep? = null,
    val refused: ErrorKind? = null,
    val phaseAfterRefusal: TransactionState? = null,
) {
    override fun toString(): String = name
}
