package org.buckthornhub.group

/** Whether data at [held] has all of [wanted]. */
internal data class HistoryCase(
    val name: String,
    val held: Position,
    val wanted: Position,
    val isContained: Boolean,
    val isLost: Boolean = false,
    val isCommitted: Boolean = true,
)
