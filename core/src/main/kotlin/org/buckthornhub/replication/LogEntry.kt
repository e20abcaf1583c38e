package org.buckthornhub.replication

import kotlinx.serialization.Serializable

/** One entry of the replicated log; [index] counts from 1. */
@Serializable
public data class LogEntry(
    val index: Long,
    val term: Long,
    val content: EntryContent,
)
