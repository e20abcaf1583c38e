package org.buckthornhub.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.limit.LimitTiming

/** Section `limit`: timing of the fleet-wide rate limits. */
internal object LimitSettings {
    private val defaults = LimitTiming()

    val DEFINITIONS: PersistentList<SettingDefinition> =
        persistentListOf(
            SettingDefinition(
                "limit.lease_ms",
                SettingKind.Whole(1_000L..600_000L),
                defaults.leaseMillis,
                "How long a zone goes on minting its shares without the control quorum, and how long the share of a VM that was lost " +
                    "stays unused, in ms. The same on every VM.",
            ),
            SettingDefinition(
                "limit.batch_ms",
                SettingKind.Whole(50L..1_000L),
                defaults.batchMillis,
                "How long a daemon may spend tokens that it was handed, in ms.",
            ),
            SettingDefinition(
                "limit.max_wait_ms",
                SettingKind.Whole(0L..1_000L),
                defaults.maxWaitMillis,
                "Longest time that a request waits for a token, in ms.",
            ),
            SettingDefinition(
                "limit.clock_drift_ppm",
                SettingKind.Whole(0L..10_000L),
                defaults.driftPartsPerMillion.toLong(),
                "By how much the clocks of two VMs may differ in speed, in millionths. The same on every VM.",
            ),
        )

    fun read(values: ValueReader): LimitTiming = LimitTiming(
        leaseMillis = values.whole("limit.lease_ms"),
        batchMillis = values.whole("limit.batch_ms"),
        maxWaitMillis = values.whole("limit.max_wait_ms"),
        driftPartsPerMillion = values.whole("limit.clock_drift_ppm").toInt(),
    )
}
