package org.buckthornhub.routing

import org.buckthornhub.error.ErrorKind

/** The result of each attempt, null for success, and the error that the caller gets. */
internal class AttemptCase(
    private val name: String,
    val attempts: List<ErrorKind?>,
    val error: ErrorKind?,
    val sends: Int,
    val isRepeatable: Boolean = true,
) {
    override fun toString(): String = name
}
