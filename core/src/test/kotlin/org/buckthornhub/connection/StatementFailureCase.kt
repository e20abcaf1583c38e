package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/** Failed attempts of a statement, and what the caller is told. */
internal data class StatementFailureCase(
    val name: String,
    val attempts: List<AttemptFailure>,
    val kind: ErrorKind,
    val detail: String,
) {
    override fun toString(): String = name
}
