package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** The entries after [snapshot], without gaps. */
public data class ReplicatedLog(
    val snapshot: Snapshot = Snapshot(),
    val entries: PersistentList<LogEntry> = persistentListOf(),
) {
    /** The newest members, committed or not; empty on a disk that never was part of a quorum. */
    val members: Set<Member> = newestMembers()?.second ?: snapshot.members

    /** Index of the entry that set [members]; 0 if it is not among [entries]. */
    val membersIndex: Long = newestMembers()?.first ?: 0

    public val lastIndex: Long get() = snapshot.index + entries.size

    public val lastTerm: Long get() = entries.lastOrNull()?.term ?: snapshot.term

    /** Term of the entry [index], or null if it isn't here or no more. */
    public fun termAt(index: Long): Long? = if (index == snapshot.index) snapshot.term else entryAt(index)?.term

    public fun entryAt(index: Long): LogEntry? = entries.getOrNull((index - snapshot.index - 1).toInt())

    /** At most [limit] entries beginning with [index]. */
    public fun entriesFrom(index: Long, limit: Int): List<LogEntry> = entries.drop((index - snapshot.index - 1).toInt()).take(limit)

    public fun append(term: Long, content: EntryContent): ReplicatedLog =
        copy(entries = entries.add(LogEntry(lastIndex + 1, term, content)))

    /** Adds [received], dropping whatever conflicts with it; what is here already stays. */
    public fun merge(received: List<LogEntry>): ReplicatedLog {
        val fresh = received.filter { it.index > snapshot.index }.dropWhile { termAt(it.index) == it.term }
        if (fresh.isEmpty()) return this
        val kept = entries.take((fresh.first().index - snapshot.index - 1).toInt())
        return copy(entries = (kept + fresh).toPersistentList())
    }

    /** The same log with the entries up to [newer] replaced by it. */
    public fun compact(newer: Snapshot): ReplicatedLog = ReplicatedLog(
        snapshot = newer,
        entries = entries.drop((newer.index - snapshot.index).toInt()).toPersistentList(),
    )

    /** The members as of [index]. */
    public fun membersAt(index: Long): Set<Member> = entries
        .lastOrNull { it.index <= index && it.content is EntryContent.Members }
        ?.let { (it.content as EntryContent.Members).members }
        ?: snapshot.members

    private fun newestMembers(): Pair<Long, Set<Member>>? {
        val entry = entries.lastOrNull { it.content is EntryContent.Members } ?: return null
        return entry.index to (entry.content as EntryContent.Members).members
    }
}
