package org.buckthornhub.instancepool

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.group.GroupId

/** Prometheus metrics of waits, and log lines about refusals. */
internal class WaitMetrics(registry: PrometheusRegistry) : WaitObserver {
    private val log = RefusalLog()
    private val actual =
        Histogram.builder().name("buckthornhub_wait_actual_seconds").help("Wait for a connection, by what followed: served or refused.")
            .labelNames("outcome").classicUpperBounds(*BOUNDS).classicOnly().register(registry)
    private val estimated =
        Histogram.builder().name("buckthornhub_wait_estimated_seconds").help("Wait that was expected on arrival, by what followed.")
            .labelNames("outcome").classicUpperBounds(*BOUNDS).classicOnly().register(registry)
    private val refusals =
        Counter.builder().name("buckthornhub_wait_refusals_total").help("Statements that got no connection, by reason.")
            .labelNames("reason").register(registry)
    private val returns =
        Histogram.builder().name("buckthornhub_wait_return_seconds").help("Time after which refused callers were told to return.")
            .classicUpperBounds(*BOUNDS).classicOnly().register(registry)

    override fun served(waitedMillis: Long, estimatedMillis: Long?) {
        actual.labelValues("served").observe(waitedMillis / MILLIS_PER_SECOND)
        estimatedMillis?.let { estimated.labelValues("served").observe(it / MILLIS_PER_SECOND) }
    }

    override fun refused(group: GroupId, refusal: PoolEffect.Refuse, waitedMillis: Long, nowMillis: Long) {
        actual.labelValues("refused").observe(waitedMillis / MILLIS_PER_SECOND)
        refusal.estimatedMillis?.let { estimated.labelValues("refused").observe(it / MILLIS_PER_SECOND) }
        refusal.retryAfterMillis?.let { returns.observe(it / MILLIS_PER_SECOND) }
        refusals.labelValues(WaitObserver.labelOf(refusal.reason)).inc()
        log.refused(group, refusal, nowMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val BOUNDS = doubleArrayOf(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
    }
}
