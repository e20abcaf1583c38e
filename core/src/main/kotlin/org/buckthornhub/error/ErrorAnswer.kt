package org.buckthornhub.error

/**
 * The answer to one kind of error.
 *
 * @property status HTTP status code, which other front ends may translate
 * @property execution whether the statement ran
 * @property repeatMayHelp true if the same request can succeed later
 * @property advice one sentence for the caller
 */
public data class ErrorAnswer(
    val status: Int,
    val execution: Execution,
    val repeatMayHelp: Boolean,
    val advice: String,
)
