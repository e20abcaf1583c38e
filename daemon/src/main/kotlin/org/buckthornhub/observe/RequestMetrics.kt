package org.buckthornhub.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.explain.RequestRecord

/** Prometheus metrics of requests: reads by serving role, time of the last write, and outcomes and waits per organisation. */
internal class RequestMetrics(
    registry: PrometheusRegistry,
    maxLabels: Int,
) : RecordObserver {
    private var organisations = BoundedLabels(maxLabels)
    private var groups = BoundedLabels(maxLabels)

    private val reads =
        Counter.builder().name("buckthornhub_reads_total").help("Reads that were served, by the role that served them.")
            .labelNames("group", "served_by").register(registry)
    private val lastWrite =
        Gauge.builder().name("buckthornhub_last_write_timestamp_seconds").help("Arrival of the newest write that was served.")
            .labelNames("group").register(registry)
    private val requests =
        Counter.builder().name("buckthornhub_requests_total").help("Requests by organisation and outcome; an error kind or served.")
            .labelNames("organisation", "outcome").register(registry)
    private val refusals =
        Counter.builder().name("buckthornhub_rate_refusals_total").help("Requests refused for the rate of their organisation.")
            .labelNames("organisation").register(registry)
    private val admissionWait =
        Histogram.builder().name("buckthornhub_admission_wait_seconds").help("Wait for a token.")
            .labelNames("organisation").classicUpperBounds(*WAIT_BOUNDS).classicOnly().register(registry)
    private val duration =
        Histogram.builder().name("buckthornhub_request_duration_seconds").help("From arrival to answer.")
            .labelNames("group").classicUpperBounds(*DURATION_BOUNDS).classicOnly().register(registry)

    override fun completed(record: RequestRecord) {
        val organisation = organisationOf(record)
        val group = groupOf(record)
        requests.labelValues(organisation, record.error?.name?.lowercase() ?: "served").inc()
        duration.labelValues(group).observe((record.tookMillis ?: 0) / MILLIS_PER_SECOND)
        if (record.error == ErrorKind.RATE_EXCEEDED) refusals.labelValues(organisation).inc()
        if (record.error == null) served(record, organisation, group)
    }

    private fun served(record: RequestRecord, organisation: String, group: String) {
        admissionWait.labelValues(organisation).observe(record.waitedMillis / MILLIS_PER_SECOND)
        if (record.isRead) {
            reads.labelValues(group, if (record.fromReplica == true) "replica" else "primary").inc()
        } else {
            lastWrite.labelValues(group).set(record.startedWallMillis / MILLIS_PER_SECOND)
        }
    }

    private fun organisationOf(record: RequestRecord): String {
        val name = record.organisation?.value ?: return "none"
        organisations = organisations.with(name)
        return organisations.labelOf(name)
    }

    // Callers choose the group name, so a group gets a label only once a request to it was served.
    private fun groupOf(record: RequestRecord): String {
        if (record.error == null) groups = groups.with(record.group.value)
        return groups.labelOf(record.group.value)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val WAIT_BOUNDS = doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.02, 0.05)
        val DURATION_BOUNDS = doubleArrayOf(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
    }
}
