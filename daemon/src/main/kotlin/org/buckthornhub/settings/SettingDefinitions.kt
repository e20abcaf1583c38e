package org.buckthornhub.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.control.ControlSettingDefinitions

/** Every setting of the daemon, in the order of the reference in docs/OPERATIONS.md. */
public object SettingDefinitions {
    private const val MAX_PORT = 65_535L
    internal const val MIN_SECRET_LENGTH = 16

    public val ALL: PersistentList<SettingDefinition> =
        persistentListOf(
            SettingDefinition("vm", SettingKind.Text, null, "Name of this VM, unique in the fleet."),
            SettingDefinition("zone", SettingKind.Text, null, "Availability zone of this VM."),
            SettingDefinition("listen.host", SettingKind.Text, "127.0.0.1", "Address that callers, peers and targets reach."),
            SettingDefinition("listen.port", SettingKind.Whole(1..MAX_PORT), null, "TCP port of that address."),
            SettingDefinition(
                "listen.max_body_bytes",
                SettingKind.Whole(1_024L..67_108_864L),
                1_048_576L,
                "Largest request body, in bytes.",
            ),
            SettingDefinition(
                "fleet.secret",
                SettingKind.Text,
                null,
                "Secret of the fleet, at least $MIN_SECRET_LENGTH characters, the same on every VM.",
            ),
            SettingDefinition(
                "fleet.seeds",
                SettingKind.Texts,
                emptyList<String>(),
                "Addresses, host:port, of daemons that this one asks when it knows no other; at least one in each zone.",
            ),
            SettingDefinition(
                "request.default_deadline_ms",
                SettingKind.Whole(1L..600_000L),
                5_000L,
                "Time for a request that names none, in ms.",
            ),
            SettingDefinition(
                "control.initial_configuration",
                SettingKind.Text,
                null,
                "JSON file with the lists and keys of a daemon without control.members.",
                isOptional = true,
            ),
            SettingDefinition(
                "write.acknowledge",
                SettingKind.Choice(listOf("second-instance", "primary")),
                "second-instance",
                "When a write counts as done: once one more instance has received it, or once the primary has it.",
            ),
            SettingDefinition(
                "session.monotonic_reads",
                SettingKind.Choice(listOf("no", "yes")),
                "no",
                "Whether a session never reads older data than it has read; it always reads its own writes.",
            ),
            SettingDefinition(
                "target.silence_ms",
                SettingKind.Whole(100L..600_000L),
                1_800L,
                "A connection to a target that gives no answer for this time is dropped, in ms.",
            ),
            SettingDefinition(
                "transaction.idle_ms",
                SettingKind.Whole(100L..600_000L),
                10_000L,
                "A transaction that is not used for this time is rolled back, in ms.",
            ),
            SettingDefinition(
                "transaction.total_ms",
                SettingKind.Whole(100L..3_600_000L),
                60_000L,
                "A transaction is rolled back after this time in any case, in ms.",
            ),
            SettingDefinition("log.format", SettingKind.Choice(listOf("text", "json")), "text", "Form of the log lines on standard error."),
        ).addAll(ControlSettingDefinitions.ALL)
            .addAll(LimitSettings.DEFINITIONS)
            .addAll(ShutdownSettings.DEFINITIONS)
            .addAll(ObserveSettings.DEFINITIONS)
}
