package org.buckthornhub.coordination

/** A position that was asked for at [askedMillis] of the leader's clock, and its time on the daemon's clock; null if it is dropped. */
internal class SharedPositionCase(
    private val name: String,
    val askedMillis: Long,
    val localMillis: Long?,
) {
    override fun toString(): String = name
}
