package org.buckthornhub.decisionlog

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.connection.AttemptFailure
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.observe.BoundedLabels
import org.buckthornhub.routetable.ReadGuarantee

/** Prometheus metrics of decisions. No label takes a value that callers choose, so the number of time series is bounded. */
internal class SessionMetrics(registry: PrometheusRegistry) : DecisionLog {
    private var targets = BoundedLabels(MAX_TARGETS)
    private val statements =
        Counter.builder().name("buckthornhub_statements_total").help("Statements by kind of route and outcome: served, or the error kind.")
            .labelNames("route", "outcome").register(registry)
    private val duration =
        Histogram.builder().name("buckthornhub_statement_duration_seconds").help("From arrival to answer, by whether it was served.")
            .labelNames("route", "served").classicUpperBounds(*DURATION_BOUNDS).classicOnly().register(registry)
    private val failedAttempts =
        Counter.builder().name(
            "buckthornhub_failed_attempts_total",
        ).help("Attempts that failed, by error kind and whether they may have run.")
            .labelNames("outcome", "may_have_run").register(registry)
    private val failures =
        Counter.builder().name("buckthornhub_failed_statements_total")
            .help("Failed statements by what the caller was told (not_run, no_effect, unknown) and what the attempts met.")
            .labelNames("told", "attempts").register(registry)
    private val served =
        Counter.builder().name("buckthornhub_target_statements_total").help("Single statements by the instance that served them.")
            .labelNames("target").register(registry)
    private val connectionWait =
        Histogram.builder().name("buckthornhub_connection_wait_seconds").help("Wait of single statements for a connection.")
            .classicUpperBounds(*DURATION_BOUNDS).classicOnly().register(registry)
    private val expired =
        Counter.builder().name("buckthornhub_transactions_expired_total").help("Transactions rolled back as idle.").register(registry)

    override fun record(event: DecisionEvent) {
        event.attempts.forEach {
            failedAttempts.labelValues(it.error.kind.name.lowercase(), if (it is AttemptFailure.MayHaveRun) "yes" else "no").inc()
        }
        count(event)
    }

    private fun count(event: DecisionEvent): Unit = when (event) {
        is DecisionEvent.RequestServed -> served(event)
        is DecisionEvent.RequestFailed -> {
            statements.labelValues(routeOf(event.guarantee), event.error.kind.name.lowercase()).inc()
            duration.labelValues(routeOf(event.guarantee), "no").observe(event.tookMillis / MILLIS_PER_SECOND)
            failures.labelValues(ErrorTable.answerTo(event.error.kind).execution.name.lowercase(), summaryOf(event.attempts)).inc()
        }
        is DecisionEvent.TransactionExpired -> expired.inc()
    }

    private fun served(event: DecisionEvent.RequestServed) {
        statements.labelValues(routeOf(event.guarantee), "served").inc()
        duration.labelValues(routeOf(event.guarantee), "yes").observe(event.tookMillis / MILLIS_PER_SECOND)
        event.waitedMillis?.let { connectionWait.observe(it / MILLIS_PER_SECOND) }
        event.target?.let {
            targets = targets.with(it.value)
            served.labelValues(targets.labelOf(it.value)).inc()
        }
    }

    private fun summaryOf(attempts: List<AttemptFailure>): String = when {
        attempts.any { it is AttemptFailure.MayHaveRun } -> "may_have_run"
        attempts.any { it.target != null } -> "not_run"
        else -> "none"
    }

    private fun routeOf(guarantee: ReadGuarantee?): String = when (guarantee) {
        is ReadGuarantee.Latest -> "latest"
        is ReadGuarantee.BoundedAge -> "bounded_age"
        is ReadGuarantee.OwnWrites -> "own_writes"
        null -> "none"
    }

    companion object {
        /** Targets with a label of their own. Instances are replaced over time; later ones count as "other". */
        private const val MAX_TARGETS = 100
        private const val MILLIS_PER_SECOND = 1_000.0
        private val DURATION_BOUNDS = doubleArrayOf(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)

        /** Registers a gauge whose value is computed at each scrape. */
        fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Double) {
            GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
        }
    }
}
