package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind

/** A write that is sent again at another owner, which knows nothing of the first one. */
internal class HolderChangeCase(
    private val name: String,
    val first: Faults,
    val second: Faults,
    val error: ErrorKind?,
) {
    override fun toString(): String = name
}
