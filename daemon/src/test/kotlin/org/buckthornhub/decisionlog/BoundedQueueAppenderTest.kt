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

/** Standard output that takes nothing: whoever logs goes on, and what is lost is counted. */
internal class BoundedQueueAppenderTest {
    private val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
    private val written = ByteArrayOutputStream()
    private val opened = CountDownLatch(1)

    /** Lines that the output still has to take. */
    private var missing = CountDownLatch(0)
    private val stuck = object : FilterOutputStream(written) {
        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            opened.await()
            written.write(bytes, offset, length)
            missing.countDown()
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
                it.outputStream = stuck
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
    fun `a stuck output holds nobody up, and the lines that are lost are counted`() {
        repeat(LINES) { logger.info("request-served") }
        // Besides the queue, the writer may hold as many lines in its hands.
        val routineLost = queue.droppedLines
        assertTrue(routineLost in (LINES - 2 * QUEUE).toLong()..LINES.toLong(), "$routineLost lines were dropped")
        repeat(LINES) { logger.warn("request-failed") }
        assertTrue(queue.droppedLines < routineLost + LINES, "failures find the room that routine lines leave")
        val lost = queue.droppedLines
        missing = CountDownLatch((2L * LINES - lost).toInt())
        opened.countDown()
        missing.await()
        queue.stop()
        assertEquals(2L * LINES - lost, written.toString().lines().count { "message" in it }.toLong())
    }

    @Test
    fun `a process without the queue shows no count of it`() {
        val registry = PrometheusRegistry()
        BoundedQueueAppender.show(registry)
        assertEquals(0, registry.scrape().size())
    }

    private companion object {
        const val QUEUE = 64
        const val LINES = 5_000
    }
}
