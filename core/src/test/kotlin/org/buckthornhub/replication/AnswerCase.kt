package org.buckthornhub.replication

/** An answer of a follower to the leader of term 2, and what the leader makes of it. */
internal class AnswerCase(
    private val name: String,
    val from: Member,
    val index: Long,
    val commitIndex: Long,
    val members: Set<Member>,
) {
    override fun toString(): String = name
}
