package org.buckthornhub.error

/**
 * How one kind of error is reported to the caller.
 *
 * @property status HTTP status code, which other front ends may translate
 * @property execution whether the statement ran
 * @property isRetryable true if a retry of the same request may succeed
 * @property advice one sentence for the caller
 */
public data class ErrorAnswer(
    val status: Int,
    val execution: Execution,
    val isRetryable: Boolean,
    val advice: String,
)
