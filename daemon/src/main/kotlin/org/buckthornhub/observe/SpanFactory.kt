package org.buckthornhub.observe

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.TraceFlags
import io.opentelemetry.api.trace.TraceState
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.data.StatusData
import org.buckthornhub.explain.RequestRecord
import java.util.HexFormat
import kotlin.random.Random

/** Converts a request record to spans: one for the request at this daemon, with one child span for each step. */
internal class SpanFactory(
    vm: String,
    zone: String,
    private val random: Random = Random.Default,
) {
    private val resource =
        Resource.create(
            Attributes.of(AttributeKey.stringKey("service.name"), "buckthornhub", vmKey, vm, AttributeKey.stringKey("zone"), zone),
        )

    fun spansOf(record: RequestRecord): List<SpanData> {
        val tookMillis = record.tookMillis ?: return emptyList()
        val requestContext = context(record, record.spanId)
        val caller = record.callerSpan?.let { context(record, it) } ?: SpanContext.getInvalid()
        val entry = span(record, "entry", SpanKind.SERVER, requestContext to caller, 0..tookMillis, attributesOf(record))
        val ends = record.steps.drop(1).map { it.atMillis } + tookMillis
        val steps =
            record.steps.zip(ends) { step, endMillis ->
                val context = context(record, HexFormat.of().toHexDigits(random.nextLong(1, Long.MAX_VALUE)))
                val attributes = Attributes.of(AttributeKey.stringKey("detail"), step.detail)
                span(record, step.name.name.lowercase(), SpanKind.INTERNAL, context to requestContext, step.atMillis..endMillis, attributes)
            }
        return listOf(entry) + steps
    }

    private fun span(
        record: RequestRecord,
        name: String,
        kind: SpanKind,
        contexts: Pair<SpanContext, SpanContext>,
        millis: LongRange,
        attributes: Attributes,
    ): SpanData = FinishedSpan(
        name = name,
        kind = kind,
        context = contexts.first,
        parent = contexts.second,
        startNanos = (record.startedWallMillis + millis.first) * NANOS_PER_MILLI,
        endNanos = (record.startedWallMillis + millis.last) * NANOS_PER_MILLI,
        attributes = attributes,
        status = record.error?.let { StatusData.create(StatusCode.ERROR, it.name) } ?: StatusData.unset(),
        resource = resource,
    )

    private fun attributesOf(record: RequestRecord): Attributes {
        val builder = Attributes.builder().put("group", record.group.value).put("request_id", record.requestId.value)
        record.organisation?.let { builder.put("organisation", it.value) }
        record.target?.let { builder.put("target", it.value) }
        return builder.build()
    }

    private fun context(record: RequestRecord, spanId: String): SpanContext =
        SpanContext.create(record.traceId, spanId, TraceFlags.getSampled(), TraceState.getDefault())

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        val vmKey: AttributeKey<String> = AttributeKey.stringKey("vm")
    }
}
