package org.buckthornhub.group

/** Whether data at [held] contains all writes up to [wanted], and whether the write at [wanted] is lost. */
internal data class HistoryCase(
    val name: String,
    val held: Position,
    val wanted: Position,
    val isContained: Boolean,
    val isLost: Boolean = false,
    val isCommitted: Boolean = true,
)
