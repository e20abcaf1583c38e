package org.buckthornhub.decisionlog

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.OutputStreamAppender
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.junit.jupiter.api.Timeout
import java.io.ByteArrayOutputStream
import java.io.FilterOutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A blocked log output must not block the threads that log, and every dropped line is counted. */
internal class BoundedQueueAppenderTest {
    private val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
    private val written = ByteArrayOutputStream()
    private val released = CountDownLatch(1)

    /** Lines that the output has not yet received. */
    private var outstanding = CountDownLatch(0)
    private val blockedOutput = object : FilterOutputStream(written) {
        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            released.await()
            written.write(bytes, offset, length)
            outstanding.countDown()
        }
    }
    private val queue = BoundedQueueAppender().also { queue ->
        queue.context = context
        queue.queueSize = QUEUE
        queue.addAppender(
            OutputStreamAppender<ILoggingEvent>().also {
                it.context = context
                it.encoder = JsonEncoder().also { encoder ->
                    encoder.context = context
                    encoder.start()
                }
                it.outputStream = blockedOutput
                it.start()
            },
        )
        queue.start()
    }
    private val logger = context.getLogger("decisions").also {
        it.level = Level.INFO
        it.addAppender(queue)
    }

    @Test
    @Timeout(10)
    fun `a blocked output does not block callers, and dropped lines are counted`() {
        repeat(LINES) { logger.info("request-served") }
        // The writer thread may have taken up to a full queue of lines in addition to those still queued.
        val routineDropped = queue.droppedLines
        assertTrue(routineDropped in (LINES - 2 * QUEUE).toLong()..LINES.toLong(), "$routineDropped lines were dropped")
        repeat(LINES) { logger.warn("request-failed") }
        assertTrue(queue.droppedLines < routineDropped + LINES, "failures use the part of the queue that is reserved for them")
        val dropped = queue.droppedLines
        outstanding = CountDownLatch((2L * LINES - dropped).toInt())
        released.countDown()
        outstanding.await()
        queue.stop()
        assertEquals(2L * LINES - dropped, written.toString().lines().count { "message" in it }.toLong())
    }

    @Test
    fun `a process without the queue registers no metric for it`() {
        val registry = PrometheusRegistry()
        BoundedQueueAppender.registerMetrics(registry)
        assertEquals(0, registry.scrape().size())
    }

    private companion object {
        const val QUEUE = 64
        const val LINES = 5_000
    }
}
