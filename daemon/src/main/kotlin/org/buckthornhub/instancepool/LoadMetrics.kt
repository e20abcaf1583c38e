package org.buckthornhub.instancepool

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource

/** Prometheus metrics of the measured load, at most [MAX_LABELS] time series each. */
internal class LoadMetrics(
    private val pool: StateSource<PoolState>,
    private val clock: Clock,
) {
    fun register(registry: PrometheusRegistry) {
        GaugeWithCallback.builder().name("buckthornhub_leaving_share").help("Share of reads that leaves the zone, by group.")
            .labelNames("group").callback { gauge ->
                pool.current().load.shares.entries.take(MAX_LABELS).forEach { (group, share) -> gauge.call(share.share, group.value) }
            }.register(registry)
        GaugeWithCallback.builder().name("buckthornhub_instance_time_seconds").help("Measured time of recent statements, by instance.")
            .labelNames("target").callback { gauge ->
                instances().filter { it.load.time.weight > 0 }
                    .forEach { gauge.call(it.load.time.mean / MILLIS_PER_SECOND, it.record.target.value) }
            }.register(registry)
        GaugeWithCallback.builder().name("buckthornhub_instance_admitted_share")
            .help("Share of its usual reads that an instance gets: 0 while it is ejected, then increasing to 1.")
            .labelNames("target").callback { gauge ->
                instances().forEach { gauge.call(it.load.outlier.admittedShare(clock.nowMillis()), it.record.target.value) }
            }.register(registry)
        CounterWithCallback.builder().name("buckthornhub_instance_ejections_total")
            .help("Ejections of an instance that failed more statements than its peers, since it started.")
            .labelNames("target").callback { counter ->
                instances().forEach { counter.call(it.load.outlier.ejections.toDouble(), it.record.target.value) }
            }.register(registry)
    }

    private fun instances() = pool.current().instances.values.take(MAX_LABELS)

    private companion object {
        const val MAX_LABELS = 100
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
