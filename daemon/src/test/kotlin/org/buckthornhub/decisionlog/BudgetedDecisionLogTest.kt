package org.buckthornhub.decisionlog

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals

internal class BudgetedDecisionLogTest {
    private var nowMillis = 10_000L
    private val clock = object : Clock {
        override fun nowMillis(): Long = nowMillis

        override fun wallMillis(): Long = nowMillis
    }
    private val log = BudgetedDecisionLog(clock, linesPerSecond = 10)

    @Test
    fun `routine lines take at most half of the budget, and the next second reports the dropped lines once, by event`() {
        val written = lines {
            repeat(30) {
                log.record(served)
                log.record(failed)
            }
            nowMillis += 1_000
            repeat(2) { log.record(failed) }
        }
        assertEquals(10 + 1 + 2, written.size)
        val report = written.single { it.message == "decisions-left-out" }
        assertEquals(mapOf("request-served" to 27, "request-failed" to 23), report.keyValuePairs.associate { it.key to it.value })
    }

    private fun lines(action: () -> Unit): List<ILoggingEvent> {
        val logger = LoggerFactory.getLogger("decisions") as Logger
        val appender = ListAppender<ILoggingEvent>().also { it.start() }
        logger.addAppender(appender)
        action()
        logger.detachAppender(appender)
        return appender.list
    }

    private companion object {
        val served = DecisionEvent.RequestServed(RequestId("r"), DatabaseName("d"), ReadGuarantee.Latest, tookMillis = 1)
        val failed =
            DecisionEvent.RequestFailed(RequestId("r"), DatabaseName("d"), null, null, ProxyError(ErrorKind.QUEUE_FULL, "full"), 1, 1, 1)
    }
}
