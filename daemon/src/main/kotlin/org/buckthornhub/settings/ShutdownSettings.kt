package org.buckthornhub.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.shutdown.ShutdownTiming

/** Section `shutdown`: timing of a graceful shutdown. */
internal object ShutdownSettings {
    private val range = SettingKind.Whole(0L..600_000L)
    private val defaults = ShutdownTiming()

    val DEFINITIONS: PersistentList<SettingDefinition> =
        persistentListOf(
            SettingDefinition(
                "shutdown.leave_ms",
                range,
                defaults.leaveMillis,
                "Time from readiness going down until the balancer has surely moved the callers, in ms.",
            ),
            SettingDefinition("shutdown.drain_ms", range, defaults.drainMillis, "Most time for requests in flight after that, in ms."),
            SettingDefinition("shutdown.handover_ms", range, defaults.handoverMillis, "Most time for each stage of handing over, in ms."),
        )

    fun read(values: ValueReader): ShutdownTiming = ShutdownTiming(
        leaveMillis = values.whole("shutdown.leave_ms"),
        drainMillis = values.whole("shutdown.drain_ms"),
        handoverMillis = values.whole("shutdown.handover_ms"),
    )
}
