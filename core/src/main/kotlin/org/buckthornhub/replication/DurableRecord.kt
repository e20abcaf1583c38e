package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record on disk. Replaying all records in order restores the [DurableState]. */
@Serializable
public sealed interface DurableRecord {
    /** The current term and the vote cast in it, if any. */
    @Serializable
    @SerialName("vote")
    public data class Vote(
        val term: Long,
        val votedFor: Member?,
    ) : DurableRecord

    /** A log entry. It replaces the stored entry with the same index and every later one. */
    @Serializable
    @SerialName("entry")
    public data class Entry(val entry: LogEntry) : DurableRecord

    /** A snapshot that supersedes all records before it. */
    @Serializable
    @SerialName("base")
    public data class Base(val snapshot: Snapshot) : DurableRecord
}
