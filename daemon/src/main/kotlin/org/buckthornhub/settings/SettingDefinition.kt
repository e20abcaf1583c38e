package org.buckthornhub.settings

/**
 * One setting that the daemon knows.
 *
 * @property key dotted key in the TOML file
 * @property default value when the key is missing; null if the key has to be given, unless it is [isOptional]
 * @property description one sentence with the unit
 */
public data class SettingDefinition(
    val key: String,
    val kind: SettingKind,
    val default: Any?,
    val description: String,
    val isOptional: Boolean = false,
)
