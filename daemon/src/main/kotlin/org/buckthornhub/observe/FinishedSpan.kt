package org.buckthornhub.observe

import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.sdk.common.InstrumentationLibraryInfo
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.data.EventData
import io.opentelemetry.sdk.trace.data.LinkData
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.data.StatusData

/** A finished span as OpenTelemetry [SpanData], so that any OpenTelemetry exporter can write it. */
internal class FinishedSpan(
    private val name: String,
    private val kind: SpanKind,
    private val context: SpanContext,
    private val parent: SpanContext,
    private val startNanos: Long,
    private val endNanos: Long,
    private val attributes: Attributes,
    private val status: StatusData,
    private val resource: Resource,
) : SpanData {
    override fun getName(): String = name

    override fun getKind(): SpanKind = kind

    override fun getSpanContext(): SpanContext = context

    override fun getParentSpanContext(): SpanContext = parent

    override fun getStatus(): StatusData = status

    override fun getStartEpochNanos(): Long = startNanos

    override fun getEndEpochNanos(): Long = endNanos

    override fun getAttributes(): Attributes = attributes

    override fun getEvents(): List<EventData> = emptyList()

    override fun getLinks(): List<LinkData> = emptyList()

    override fun hasEnded(): Boolean = true

    override fun getTotalRecordedEvents(): Int = 0

    override fun getTotalRecordedLinks(): Int = 0

    override fun getTotalAttributeCount(): Int = attributes.size()

    @Deprecated("Required by the OpenTelemetry interface")
    override fun getInstrumentationLibraryInfo(): InstrumentationLibraryInfo = InstrumentationLibraryInfo.empty()

    override fun getResource(): Resource = resource
}
