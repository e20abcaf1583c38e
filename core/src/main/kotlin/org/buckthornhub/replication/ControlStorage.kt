package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList

/** Durable storage of one control VM. Each function returns only after the data has been synced to disk. */
public interface ControlStorage {
    /** Appends [records] to the stored ones. */
    public fun append(records: PersistentList<DurableRecord>)

    /** Atomically replaces all stored records by [records]: after a crash either the old or the new ones are there. */
    public fun rewrite(records: PersistentList<DurableRecord>)
}
