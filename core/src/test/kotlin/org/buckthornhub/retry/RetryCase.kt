package org.buckthornhub.retry

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Operation

/** A failed attempt and the expected decision: [avoidsTarget] is null for no retry, else whether the target is excluded. */
internal data class RetryCase(
    val name: String,
    val operation: Operation,
    val kind: ErrorKind,
    val avoidsTarget: Boolean?,
    val attempt: Int = 1,
    val remainingMillis: Long = 1_000,
    val isBudgetSpent: Boolean = false,
)
