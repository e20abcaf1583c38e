package org.buckthornhub.coordination

/** A reply to a daemon that has taken over times of the future, and the time (monotonic ms) that counts after it. */
internal class TakenOverCase(
    private val name: String,
    val reply: ProxyReportAnswer,
    val countedMillis: Long?,
) {
    override fun toString(): String = name
}
