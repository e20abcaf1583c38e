package org.buckthornhub.caller

/** A `traceparent` header of a caller, and whether its trace is continued. */
internal data class TraceCase(
    val header: String?,
    val isContinued: Boolean,
    val isSampled: Boolean = false,
)
