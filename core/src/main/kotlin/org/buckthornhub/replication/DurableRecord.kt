package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record on disk; replaying them in order gives the [DurableState]. */
@Serializable
public sealed interface DurableRecord {
    /** The newest term, and the vote in it. */
    @Serializable
    @SerialName("vote")
    public data class Vote(
        val term: Long,
        val votedFor: Member?,
    ) : DurableRecord

    /** An entry, which drops every entry with its index or a higher one. */
    @Serializable
    @SerialName("entry")
    public data class Entry(val entry: LogEntry) : DurableRecord

    /** A snapshot in place of all records before it. */
    @Serializable
    @SerialName("base")
    public data class Base(val snapshot: Snapshot) : DurableRecord
}
