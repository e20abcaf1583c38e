package org.buckthornhub.cli.operator

import org.buckthornhub.cli.ExitCode

/**
 * Failure of a command.
 *
 * @property isOutcomeUnknown true if the change may still be accepted
 * @property json JSON body of the daemon's reply, if there was one
 */
internal data class OperatorFailure(
    val exitCode: ExitCode,
    val detail: String,
    val isOutcomeUnknown: Boolean = false,
    val json: String? = null,
)
