package org.buckthornhub.replication

/** Highest index that any member knew as committed, by time; the reference for the freshness of all members. */
internal class CommitHistory(private val entries: List<Pair<Long, Long>> = emptyList()) {
    fun with(millis: Long, index: Long): CommitHistory =
        if (index > (entries.lastOrNull()?.second ?: 0)) CommitHistory(entries + (millis to index)) else this

    /** Returns the highest index that was known as committed before [millis]. */
    fun indexBefore(millis: Long): Long = entries.lastOrNull { (time, _) -> time < millis }?.second ?: 0
}
