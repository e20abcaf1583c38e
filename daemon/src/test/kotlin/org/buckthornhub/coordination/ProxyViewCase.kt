package org.buckthornhub.coordination

/** A reply to a report sent at 10 s, and the expected time of confirmation (monotonic ms) and table version of the view. */
internal data class ProxyViewCase(
    val name: String,
    val reply: ProxyReportAnswer,
    val confirmedMillis: Long?,
    val version: Long,
) {
    override fun toString(): String = name
}
