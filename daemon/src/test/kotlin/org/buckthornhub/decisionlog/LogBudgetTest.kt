package org.buckthornhub.decisionlog

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.observe.MetricsRoutes
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class LogBudgetTest {
    @Test
    fun `routine lines leave half of the budget to failures, and dropped lines are counted`() {
        var budget = LogBudget(linesPerSecond = 10)
        var written = 0
        fun line(isRoutine: Boolean, nowMillis: Long) {
            val (next, isWritten) = budget.consume(if (isRoutine) served else failed, nowMillis)
            budget = next
            if (isWritten) written += 1
        }
        repeat(20) { line(isRoutine = true, nowMillis = 5_000) }
        assertEquals(5, written)
        repeat(20) { line(isRoutine = false, nowMillis = 5_500) }
        assertEquals(10, written)
        assertEquals(mapOf("request-served" to 15, "request-failed" to 15), budget.dropped.toMap())
        line(isRoutine = true, nowMillis = 6_000)
        assertEquals(11, written)
    }

    @Test
    fun `metrics count outcomes and contain no value that callers choose`() = runTest {
        val registry = PrometheusRegistry()
        val metrics = SessionMetrics(registry)
        metrics.record(served)
        repeat(2) { metrics.record(failed) }
        val request = HttpRequest("GET", "/metrics", emptyMap(), emptyMap(), emptyMap(), "")
        val text = MetricsRoutes(registry).routes().single().handler.handle(request).body
        assertContains(text, "buckthornhub_statements_total{outcome=\"served\",route=\"latest\"} 1.0")
        assertContains(text, "buckthornhub_statements_total{outcome=\"rate_exceeded\",route=\"none\"} 2.0")
        assertFalse("secret" in text)
    }

    private companion object {
        val served = DecisionEvent.RequestServed(
            RequestId("secret-id"),
            DatabaseName("secret-database"),
            ReadGuarantee.Latest,
            tookMillis = 12,
        )
        val failed = DecisionEvent.RequestFailed(
            RequestId("r"),
            DatabaseName("secret-database"),
            guarantee = null,
            organisation = null,
            ProxyError(ErrorKind.RATE_EXCEEDED, "over its rate"),
            tookMillis = 1,
            tableVersion = 1,
            tableAgeMillis = 1,
        )
    }
}
