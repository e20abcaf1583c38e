package org.buckthornhub.replication

import kotlinx.serialization.Serializable

/** One entry of the replicated log. The first entry has [index] 1. */
@Serializable
public data class LogEntry(
    val index: Long,
    val term: Long,
    val content: EntryContent,
)
