package org.buckthornhub.limit

/**
 * Result of a trace, with one outcome per organisation.
 *
 * @property messagesPerSecond messages sent per second and daemon, including replies
 */
internal data class TraceResult(
    val records: List<LimitOutcome>,
    val messagesPerSecond: Double,
) {
    val arrived get() = records.sumOf { it.arrived }
    val admitted get() = records.sumOf { it.admitted }
    val overAdmitted get() = records.sumOf { it.overAdmitted }
    val refusedByExact get() = records.sumOf { it.refusedByExact }
    val wrongful get() = records.sumOf { it.wrongful }
    val wrongfulPercent get() = 100.0 * wrongful / arrived
    val worstWrongfulPercent get() = records.maxOf { 100.0 * it.wrongful / it.arrived }
}
