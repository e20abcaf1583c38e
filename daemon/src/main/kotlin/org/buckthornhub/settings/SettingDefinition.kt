package org.buckthornhub.settings

/**
 * Definition of one setting of the daemon.
 *
 * @property key dotted key in the TOML file
 * @property default value when the key is missing; null if the key is required or, with [isOptional], has no default
 * @property description one sentence with the unit
 */
public data class SettingDefinition(
    val key: String,
    val kind: SettingKind,
    val default: Any?,
    val description: String,
    val isOptional: Boolean = false,
)
