package org.buckthornhub.replication

/** A follower's answer to the leader of term 2, with the commit index and members expected after it. */
internal class AppendAnswerCase(
    private val name: String,
    val from: Member,
    val index: Long,
    val commitIndex: Long,
    val members: Set<Member>,
) {
    override fun toString(): String = name
}
