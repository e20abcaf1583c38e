package org.buckthornhub.observe

import io.opentelemetry.sdk.trace.export.SpanExporter
import org.buckthornhub.explain.RequestRecord

/** Exports the spans of sampled requests. */
internal class SpanObserver(
    private val factory: SpanFactory,
    private val exporter: SpanExporter,
) : RecordObserver {
    override fun completed(record: RequestRecord) {
        if (record.isSampled) exporter.export(factory.spansOf(record))
    }
}
