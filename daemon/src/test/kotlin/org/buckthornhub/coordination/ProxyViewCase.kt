package org.buckthornhub.coordination

/** An answer to a question that was asked at 10 s, and the proof that a view has after it, in monotonic ms. */
internal data class ProxyViewCase(
    val name: String,
    val news: ProxyReportAnswer,
    val proofMillis: Long?,
    val version: Long,
) {
    override fun toString(): String = name
}
