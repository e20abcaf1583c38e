package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind

/** A write that is resent to another owner, which has no record of the first send. */
internal class OwnerChangeCase(
    private val name: String,
    val first: Faults,
    val second: Faults,
    val error: ErrorKind?,
) {
    override fun toString(): String = name
}
