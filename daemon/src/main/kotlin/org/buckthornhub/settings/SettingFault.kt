package org.buckthornhub.settings

/** One error in a settings file: the setting, the value found, and the values allowed. */
public data class SettingFault(
    val key: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$key: found $found; allowed: $allowed"
}
