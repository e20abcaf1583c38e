package org.buckthornhub.settings

/** One fault of a settings file. */
public data class SettingFault(
    val key: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$key: found $found; allowed: $allowed"
}
