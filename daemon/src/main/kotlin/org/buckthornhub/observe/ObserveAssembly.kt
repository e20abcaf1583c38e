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

/** Builds what a daemon shows: metrics, spans, and the records that `explain` answers from. */
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

    // Records of requests in flight are needed for metrics even where explain is off.
    private val recorder = RecorderTask(maxOf(options.explainRecords, LEAST_RECORDS), observers, clock)

    /** Goes into the request path. */
    val listener: ProxyEventListener = RecordingListener(recorder, clock)

    /** Takes what happened to a group, such as a changed primary. */
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
        const val LEAST_RECORDS = 1_000
    }
}
