package org.buckthornhub.routing

import org.buckthornhub.error.ErrorKind

/** What each attempt comes to, and what the caller is told. */
internal class AttemptCase(
    private val name: String,
    val attempts: List<ErrorKind?>,
    val error: ErrorKind?,
    val sends: Int,
    val isRepeatable: Boolean = true,
) {
    override fun toString(): String = name
}
