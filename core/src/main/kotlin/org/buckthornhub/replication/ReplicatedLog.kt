package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** The log of one member: a snapshot and the contiguous entries after it. */
public data class ReplicatedLog(
    val snapshot: Snapshot = Snapshot(),
    val entries: PersistentList<LogEntry> = persistentListOf(),
) {
    /** The latest membership in the log, committed or not; empty if this disk was never part of a quorum. */
    val members: Set<Member> = newestMembers()?.second ?: snapshot.members

    /** Index of the entry that defines [members]; 0 if they come from the snapshot. */
    val membersIndex: Long = newestMembers()?.first ?: 0

    public val lastIndex: Long get() = snapshot.index + entries.size

    public val lastTerm: Long get() = entries.lastOrNull()?.term ?: snapshot.term

    /** Returns the term of the entry at [index], or null if the log does not contain it or it has been compacted. */
    public fun termAt(index: Long): Long? = if (index == snapshot.index) snapshot.term else entryAt(index)?.term

    public fun entryAt(index: Long): LogEntry? = entries.getOrNull((index - snapshot.index - 1).toInt())

    /** Returns at most [limit] entries, starting at [index], that together have about [maxChars] or are a single one. */
    public fun entriesFrom(index: Long, limit: Int, maxChars: Int = Int.MAX_VALUE): List<LogEntry> {
        val from = entries.drop((index - snapshot.index - 1).toInt()).take(limit)
        val sizes = from.runningFold(0L) { chars, entry -> chars + entry.content.chars }.drop(1)
        return from.take(maxOf(1, sizes.count { it <= maxChars }))
    }

    public fun append(term: Long, content: EntryContent): ReplicatedLog =
        copy(entries = entries.add(LogEntry(lastIndex + 1, term, content)))

    /** Appends [received], dropping local entries that conflict with it. Entries that the log already contains are kept. */
    public fun merge(received: List<LogEntry>): ReplicatedLog {
        val fresh = received.filter { it.index > snapshot.index }.dropWhile { termAt(it.index) == it.term }
        if (fresh.isEmpty()) return this
        val kept = entries.take((fresh.first().index - snapshot.index - 1).toInt())
        return copy(entries = (kept + fresh).toPersistentList())
    }

    /** Returns the log with all entries up to the snapshot [newer] replaced by it. */
    public fun compact(newer: Snapshot): ReplicatedLog = ReplicatedLog(
        snapshot = newer,
        entries = entries.drop((newer.index - snapshot.index).toInt()).toPersistentList(),
    )

    /** Returns the members as of the entry at [index]. */
    public fun membersAt(index: Long): Set<Member> = entries
        .lastOrNull { it.index <= index && it.content is EntryContent.Members }
        ?.let { (it.content as EntryContent.Members).members }
        ?: snapshot.members

    private fun newestMembers(): Pair<Long, Set<Member>>? {
        val entry = entries.lastOrNull { it.content is EntryContent.Members } ?: return null
        return entry.index to (entry.content as EntryContent.Members).members
    }
}
