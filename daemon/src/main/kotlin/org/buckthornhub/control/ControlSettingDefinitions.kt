package org.buckthornhub.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.settings.SettingDefinition
import org.buckthornhub.settings.SettingKind

/** The settings under `control.`, `operator.` and `keys.`. */
internal object ControlSettingDefinitions {
    val ALL: PersistentList<SettingDefinition> =
        persistentListOf(
            SettingDefinition(
                "control.members",
                SettingKind.Texts,
                emptyList<String>(),
                "The control VMs, 1, 3 or 5, each as vm=host:port; the same on every VM.",
            ),
            SettingDefinition(
                "control.data_folder",
                SettingKind.Text,
                null,
                "Folder for the state that has to survive; a control VM needs it.",
                isOptional = true,
            ),
            SettingDefinition(
                "control.heartbeat_ms",
                SettingKind.Whole(10L..10_000L),
                100L,
                "Time between heartbeats of the leader, in ms.",
            ),
            SettingDefinition(
                "control.election_ms",
                SettingKind.Whole(50L..60_000L),
                400L,
                "Silence of the leader, from this to twice this, that starts an election, in ms.",
            ),
            SettingDefinition(
                "operator.secret",
                SettingKind.Text,
                null,
                "Secret of the operators; without it the routes under /v1/operator refuse everything.",
                isOptional = true,
            ),
            SettingDefinition(
                "keys.cut_off_policy",
                SettingKind.Choice(listOf("serve", "refuse")),
                "serve",
                "What a daemon does about keys when it was cut off from the quorum for keys.cut_off_after_ms.",
            ),
            SettingDefinition(
                "keys.cut_off_after_ms",
                SettingKind.Whole(5_000L..604_800_000L),
                900_000L,
                "Age of the configuration, in ms, from which the policy \"refuse\" refuses keys.",
            ),
        )
}
