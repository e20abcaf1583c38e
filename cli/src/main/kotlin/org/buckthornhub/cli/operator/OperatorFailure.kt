package org.buckthornhub.cli.operator

import org.buckthornhub.cli.ExitCode

/**
 * Why a command did not do what it was asked.
 *
 * @property isOutcomeOpen true if the change may yet be accepted
 * @property json the answer of the daemon, if it gave one
 */
internal data class OperatorFailure(
    val exitCode: ExitCode,
    val detail: String,
    val isOutcomeOpen: Boolean = false,
    val json: String? = null,
)
