package org.buckthornhub.observe

import io.opentelemetry.sdk.trace.export.SpanExporter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.clock.Clock
import org.buckthornhub.explain.ExplainEvent
import org.buckthornhub.explain.ExplainMessage
import org.buckthornhub.http.Route
import org.buckthornhub.organisation.OperatorAuthority
import org.buckthornhub.proxy.ProxyEventListener
import org.buckthornhub.settings.Settings
import org.buckthornhub.task.Mailbox
import java.io.File

/** Builds the observability of a daemon: metrics, spans, and the request records that `explain` reads. */
internal class ObserveAssembly(
    settings: Settings,
    clock: Clock,
) {
    private val options = settings.observe
    private val registry = PrometheusRegistry()
    private val spans = SpanFactory(settings.vm.value, settings.zone.value)
    private val exporter: SpanExporter? = options.traceFile?.let { FileSpanExporter(File(it)) }
    private val observers: List<RecordObserver> =
        listOf(RequestMetrics(registry, options.maxOrganisations)) + listOfNotNull(exporter?.let { SpanObserver(spans, it) })

    // Metrics need the records of requests in flight even if explain is off.
    private val recorder = RecorderTask(maxOf(options.explainRecords, MIN_RECORDS), observers, clock)

    /** Records the events of the request path. */
    val listener: ProxyEventListener = RecordingListener(recorder, clock)

    /** Receives events of database groups, such as a change of primary. */
    val events: Mailbox<ExplainEvent> = Mailbox { recorder.offer(ExplainMessage.EventOccurred(it)) }

    val routes: List<Route> =
        MetricsRoutes(registry).routes() +
            if (options.explainRecords >
                0
            ) {
                ExplainRoutes(recorder, OperatorAuthority(settings.control.operatorSecret)).routes()
            } else {
                emptyList()
            }

    fun start(scope: CoroutineScope) {
        recorder.start(scope)
    }

    private companion object {
        const val MIN_RECORDS = 1_000
    }
}
