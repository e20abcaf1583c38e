package org.buckthornhub.replication

/** An answer with [round] to a leader that has sent three rounds, and the send time of the newest one that counts as confirmed. */
internal class RoundCase(
    private val name: String,
    val round: Long,
    val confirmedMillis: Long,
) {
    override fun toString(): String = name
}
