package org.buckthornhub.decisionlog

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Hands lines to a writer of their own through a bounded queue, and never waits for it.
 *
 * While the queue is nearly full, lines below [Level.WARN] are dropped; once it is full, all are. Logback makes it, as
 * its configuration says.
 */
public class BoundedQueueAppender : AsyncAppender() {
    private val dropped = Counter.builder().name(
        "buckthornhub_log_lines_dropped_total",
    ).help("Log lines that found the queue full.").build()

    init {
        isNeverBlock = true
        // What is dropped is decided here, where it is counted.
        discardingThreshold = 0
    }

    /** Lines that were dropped since the start. */
    public val droppedLines: Long get() = dropped.longValue

    override fun append(event: ILoggingEvent) {
        val left = remainingCapacity
        val isDropped = left == 0 || left < queueSize / KEPT_DIVISOR && isDiscardable(event)
        if (isDropped) dropped.inc() else super.append(event)
    }

    internal companion object {
        /** A fifth of the queue is kept for warnings and errors, as Logback's own appender does. */
        private const val KEPT_DIVISOR = 5

        /** Shows in [registry] what the queue of this process dropped, if its lines go through one. */
        fun show(registry: PrometheusRegistry) {
            val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? ch.qos.logback.classic.Logger ?: return
            root.iteratorForAppenders().asSequence().filterIsInstance<BoundedQueueAppender>().forEach { registry.register(it.dropped) }
        }
    }
}
