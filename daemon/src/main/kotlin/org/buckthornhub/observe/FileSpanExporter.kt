package org.buckthornhub.observe

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import java.io.File
import java.io.IOException

/** Appends spans to a file, one JSON object per line. */
internal class FileSpanExporter(private val file: File) : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode = try {
        file.appendText(spans.joinToString("") { "${lineOf(it)}\n" })
        CompletableResultCode.ofSuccess()
    } catch (e: IOException) {
        CompletableResultCode.ofExceptionalFailure(e)
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun lineOf(span: SpanData): String = buildJsonObject {
        put("traceId", span.traceId)
        put("spanId", span.spanId)
        put("parentSpanId", span.parentSpanId)
        put("name", span.name)
        put("kind", span.kind.name)
        put("startEpochNanos", span.startEpochNanos)
        put("endEpochNanos", span.endEpochNanos)
        put("status", span.status.statusCode.name)
        putJsonObject("attributes") { span.attributes.forEach { key, value -> put(key.key, "$value") } }
        putJsonObject("resource") { span.resource.attributes.forEach { key, value -> put(key.key, "$value") } }
    }.toString()
}
