package org.buckthornhub.decisionlog

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Appends log lines through a bounded queue to a writer on its own thread, and never blocks the caller.
 *
 * While the queue is nearly full, lines below [Level.WARN] are dropped; once it is full, all lines are. Logback creates the
 * appender from its configuration file.
 */
public class BoundedQueueAppender : AsyncAppender() {
    private val dropped = Counter.builder().name(
        "buckthornhub_log_lines_dropped_total",
    ).help("Log lines that found the queue full.").build()

    init {
        isNeverBlock = true
        // Turns off the discarding of the superclass; append() decides what to drop, so that it can count it.
        discardingThreshold = 0
    }

    /** Number of lines dropped since the start. */
    public val droppedLines: Long get() = dropped.longValue

    override fun append(event: ILoggingEvent) {
        val left = remainingCapacity
        val isDropped = left == 0 || left < queueSize / RESERVED_DIVISOR && isDiscardable(event)
        if (isDropped) dropped.inc() else super.append(event)
    }

    internal companion object {
        /** A fifth of the queue is reserved for warnings and errors, the same fraction as in Logback's own appender. */
        private const val RESERVED_DIVISOR = 5

        /** Adds the number of dropped lines to [registry] if this process logs through such a queue. */
        fun registerMetrics(registry: PrometheusRegistry) {
            val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? ch.qos.logback.classic.Logger ?: return
            root.iteratorForAppenders().asSequence().filterIsInstance<BoundedQueueAppender>().forEach { registry.register(it.dropped) }
        }
    }
}
