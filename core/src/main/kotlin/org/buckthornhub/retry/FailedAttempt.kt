package org.buckthornhub.retry

import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Operation

/**
 * An attempt that came to [error].
 *
 * @property attempt 1 for the first
 * @property deadlineMillis monotonic time by which the answer has to be there
 */
public data class FailedAttempt(
    val operation: Operation,
    val error: ProxyError,
    val attempt: Int,
    val nowMillis: Long,
    val deadlineMillis: Long,
)
