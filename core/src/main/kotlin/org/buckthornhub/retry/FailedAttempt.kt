package org.buckthornhub.retry

import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Operation

/**
 * An attempt that failed with [error].
 *
 * @property attempt number of the attempt, starting at 1
 * @property deadlineMillis local monotonic time by which the caller needs an answer
 */
public data class FailedAttempt(
    val operation: Operation,
    val error: ProxyError,
    val attempt: Int,
    val nowMillis: Long,
    val deadlineMillis: Long,
)
