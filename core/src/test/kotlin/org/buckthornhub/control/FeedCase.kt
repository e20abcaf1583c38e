package org.buckthornhub.control

/** Messages to a feed, each with its time in ms, and the expected state after them. */
internal class FeedCase(
    private val name: String,
    val messages: List<Pair<Long, FeedMessage>>,
    val revision: Long,
    val freshMillis: Long?,
    val source: String,
    val withdrawn: Set<String> = emptySet(),
) {
    override fun toString(): String = name
}
