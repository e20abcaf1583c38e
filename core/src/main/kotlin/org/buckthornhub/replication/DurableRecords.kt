package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Converts between [DurableState] and its records. */
public object DurableRecords {
    /** Returns the records that represent the complete [state]. */
    public fun recordsOf(state: DurableState): PersistentList<DurableRecord> = persistentListOf<DurableRecord>(
        DurableRecord.Base(state.log.snapshot),
        DurableRecord.Vote(state.term, state.votedFor),
    ).addAll(state.log.entries.map { DurableRecord.Entry(it) })

    /** Returns the storage effect that takes the disk from [old] to [new], or null if they are equal. */
    internal fun diff(old: DurableState, new: DurableState): ReplicationEffect? {
        if (old.log.snapshot !== new.log.snapshot) return ReplicationEffect.Rewrite(recordsOf(new))
        val vote = if (old.term == new.term && old.votedFor == new.votedFor) null else DurableRecord.Vote(new.term, new.votedFor)
        val entries = if (old.log.entries === new.log.entries) emptyList() else appendedEntries(old.log, new.log)
        val records = listOfNotNull(vote) + entries
        return if (records.isEmpty()) null else ReplicationEffect.Persist(records.toPersistentList())
    }

    /** Restores the state that [records] describe, applied in order. */
    public fun replay(records: List<DurableRecord>): DurableState = records.fold(DurableState()) { state, record ->
        when (record) {
            is DurableRecord.Base -> state.copy(log = ReplicatedLog(record.snapshot))
            is DurableRecord.Vote -> state.copy(term = record.term, votedFor = record.votedFor)
            is DurableRecord.Entry -> state.copy(log = state.log.merge(listOf(record.entry)))
        }
    }

    private fun appendedEntries(old: ReplicatedLog, new: ReplicatedLog): List<DurableRecord> {
        val common = old.entries.zip(new.entries).takeWhile { (a, b) -> a === b || a.term == b.term }.size
        return new.entries.drop(common).map { DurableRecord.Entry(it) }
    }
}
