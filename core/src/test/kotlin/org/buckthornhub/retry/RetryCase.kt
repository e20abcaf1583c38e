package org.buckthornhub.retry

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Operation

/** What follows a failure; [again] is null if the caller gets the error, else whether the target is left out. */
internal data class RetryCase(
    val name: String,
    val operation: Operation,
    val kind: ErrorKind,
    val again: Boolean?,
    val attempt: Int = 1,
    val remainingMillis: Long = 1_000,
    val isBudgetSpent: Boolean = false,
)
