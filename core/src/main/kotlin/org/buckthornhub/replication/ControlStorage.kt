package org.buckthornhub.replication

import kotlinx.collections.immutable.PersistentList

/** The disk of one control VM. Each function returns after the sync. */
public interface ControlStorage {
    /** Adds [records] behind those that are there. */
    public fun append(records: PersistentList<DurableRecord>)

    /** Puts [records] in place of all that is there; a crash leaves either the old or the new ones. */
    public fun rewrite(records: PersistentList<DurableRecord>)
}
