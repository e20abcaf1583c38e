package org.buckthornhub.decisionlog

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.runTest
import org.buckthornhub.connection.AttemptFailure
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.observe.MetricsRoutes
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
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
    fun `failures after an attempt are written although refusals used up the budget`() {
        val spent = (1..20).fold(LogBudget(linesPerSecond = 10)) { budget, _ -> budget.consume(failed, 5_000).first }
        val (afterOne, isFirstWritten) = spent.consume(attempted, 5_100)
        val (afterTwo, isSecondWritten) = afterOne.consume(attempted, 5_100)
        assertEquals(listOf(true, true, false), listOf(isFirstWritten, isSecondWritten, afterTwo.consume(attempted, 5_100).second))
        assertEquals("i-1 NO_PRIMARY not-run 3ms; i-2 OUTCOME_UNKNOWN may-have-run 7ms", attempted.fields["attempts"])
    }

    @ParameterizedTest
    @MethodSource("storms")
    fun `a storm of failures that did not run leaves lines for those that may have run`(storm: DecisionEvent.RequestFailed) {
        val spent = (1..40).fold(LogBudget(linesPerSecond = 10)) { budget, _ -> budget.consume(storm, 5_000).first }
        assertEquals(listOf(true, false), listOf(spent.consume(attempted, 5_100).second, spent.consume(storm, 5_100).second))
    }

    @Test
    fun `metrics count attempts, and failed statements by what the caller was told`() = runTest {
        val registry = PrometheusRegistry()
        val metrics = SessionMetrics(registry)
        metrics.record(attempted)
        metrics.record(failed)
        val request = HttpRequest("GET", "/metrics", emptyMap(), emptyMap(), emptyMap(), "")
        val text = MetricsRoutes(registry).routes().single().handler.handle(request).body
        assertContains(text, "buckthornhub_failed_attempts_total{may_have_run=\"no\",outcome=\"no_primary\"} 1.0")
        assertContains(text, "buckthornhub_failed_attempts_total{may_have_run=\"yes\",outcome=\"outcome_unknown\"} 1.0")
        assertContains(text, "buckthornhub_failed_statements_total{attempts=\"may_have_run\",told=\"unknown\"} 1.0")
        assertContains(text, "buckthornhub_failed_statements_total{attempts=\"none\",told=\"not_run\"} 1.0")
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

        @JvmStatic
        fun storms(): List<DecisionEvent.RequestFailed> = listOf(
            failed,
            failedAt(null, ErrorKind.QUEUE_FULL),
            failedAt(TargetId("i-1"), ErrorKind.NO_PRIMARY),
        )

        private fun failedAt(target: TargetId?, kind: ErrorKind) =
            failed.copy(attempts = persistentListOf(AttemptFailure.NotRun(target, ProxyError(kind, "not run"))))

        val attempted = failed.copy(
            error = ProxyError(ErrorKind.OUTCOME_UNKNOWN, "gave no answer"),
            attempts = persistentListOf(
                AttemptFailure.NotRun(TargetId("i-1"), ProxyError(ErrorKind.NO_PRIMARY, "not leading"), tookMillis = 3),
                AttemptFailure.MayHaveRun(TargetId("i-2"), ProxyError(ErrorKind.OUTCOME_UNKNOWN, "lost"), tookMillis = 7),
            ),
        )
    }
}
