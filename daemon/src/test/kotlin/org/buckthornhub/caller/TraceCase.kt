package org.buckthornhub.caller

/** A header `traceparent` of a caller, and whether its trace goes on. */
internal data class TraceCase(
    val header: String?,
    val isContinued: Boolean,
    val isSampled: Boolean = false,
)
