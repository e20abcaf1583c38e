package org.buckthornhub.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.observe.ObserveOptions

/** Sections `metrics`, `trace` and `explain`: observability of the daemon. */
internal object ObserveSettings {
    private val defaults = ObserveOptions()

    val DEFINITIONS: PersistentList<SettingDefinition> =
        persistentListOf(
            SettingDefinition(
                "metrics.max_organisations",
                SettingKind.Whole(1L..10_000L),
                defaults.maxOrganisations.toLong(),
                "Organisations and groups with labels of their own; the rest count as \"other\".",
            ),
            SettingDefinition(
                "trace.file",
                SettingKind.Text,
                null,
                "File that spans are appended to, one JSON object a line; no file, no spans.",
                isOptional = true,
            ),
            SettingDefinition(
                "trace.sample_percent",
                SettingKind.Whole(0L..100L),
                defaults.samplePercent.toLong(),
                "Share of requests whose spans are written, in percent, unless the caller's trace says so.",
            ),
            SettingDefinition(
                "explain.records",
                SettingKind.Whole(0L..1_000_000L),
                defaults.explainRecords.toLong(),
                "Requests that explain remembers; 0 turns it off.",
            ),
        )

    fun read(values: ValueReader): ObserveOptions = ObserveOptions(
        maxOrganisations = values.whole("metrics.max_organisations").toInt(),
        traceFile = values.textOrNull("trace.file"),
        samplePercent = values.whole("trace.sample_percent").toInt(),
        explainRecords = values.whole("explain.records").toInt(),
    )
}
