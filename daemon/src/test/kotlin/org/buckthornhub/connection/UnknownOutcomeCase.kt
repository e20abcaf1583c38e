package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/**
 * Statements of a caller whose last one meets [steps], one an attempt.
 *
 * @property answer expected error kind of the last statement
 */
internal data class UnknownOutcomeCase(
    val name: String,
    val statements: List<ClientStatement>,
    val steps: List<AttemptStep>,
    val answer: ErrorKind?,
    val commits: Int,
) {
    override fun toString(): String = "$name: ${steps.joinToString(", then ") { it.name }}"
}
