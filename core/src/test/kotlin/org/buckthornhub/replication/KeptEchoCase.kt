package org.buckthornhub.replication

/** Times that a follower sent with its answers, each with the run that gave it, and the echo that the leader keeps in the end. */
internal class KeptEchoCase(
    private val name: String,
    val answers: List<Pair<RunId?, Long>>,
    val echo: Echo?,
) {
    override fun toString(): String = name
}
